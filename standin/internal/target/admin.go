package target

import (
	"fmt"
	"io"
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
)

// maxFaultBytes bounds the body of POST /faults.
const maxFaultBytes = 4096

// newAdmin returns the handler of the admin port: GET /ran, POST /faults, POST
// /reboot and GET /healthz.
func newAdmin(tt *Target) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(rw http.ResponseWriter, _ *http.Request) {
		serveReport(rw, tt)
	})
	mux.HandleFunc("POST /faults", func(rw http.ResponseWriter, req *http.Request) {
		serveFaults(rw, req, tt)
	})
	mux.HandleFunc("POST /reboot", func(rw http.ResponseWriter, _ *http.Request) {
		go func() { _ = tt.Reboot() }()
		rw.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(rw, "ok")
	})
	return mux
}

func serveReport(rw http.ResponseWriter, tt *Target) {
	data, err := EncodeReport(tt.Report())
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

func serveFaults(rw http.ResponseWriter, req *http.Request, tt *Target) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxFaultBytes))
	if err != nil {
		tooLarge := classifier.Wrap(err, classifier.RequestTooLarge, "fault")
		http.Error(rw, tooLarge.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ft, count, err := DecodeFault(data)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if err := tt.SetFault(ft, count); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}
