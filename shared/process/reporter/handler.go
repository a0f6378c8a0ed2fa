package reporter

import "net/http"

// NewHandler returns the HTTP handler of a node's status page. It calls status for
// each request.
func NewHandler(status func() Status) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		data, err := EncodeStatus(status())
		if err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(data)
	})
}
