package platform

import (
	"io"
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// maxAdminBytes bounds the request bodies of the admin port.
const maxAdminBytes = 1 << 20

// adminHandler serves the admin port.
type adminHandler struct {
	keeper *keeper.Keeper
}

func (ah *adminHandler) counts(*http.Request) (response, error) {
	return jsonResponse(EncodeCounts(ah.keeper.Counts()))
}

func (ah *adminHandler) faults(*http.Request) (response, error) {
	return jsonResponse(EncodeFaults(ah.keeper.Faults()))
}

// setFaults replaces all faults.
func (ah *adminHandler) setFaults(rq *http.Request) (response, error) {
	body, err := readBody(rq)
	if err != nil {
		return response{}, err
	}
	faults, err := DecodeFaults(body)
	if err != nil {
		return response{}, err
	}
	return response{}, ah.keeper.SetFaults(faults...)
}

// vms returns the current VMs, without the list lag.
func (ah *adminHandler) vms(*http.Request) (response, error) {
	return jsonResponse(storer.EncodeVMs(ah.keeper.VMs()))
}

// putVM adds or replaces a VM. The body is a list that holds only this VM.
func (ah *adminHandler) putVM(rq *http.Request) (response, error) {
	body, err := readBody(rq)
	if err != nil {
		return response{}, err
	}
	vms, err := storer.DecodeVMs(body)
	if err != nil {
		return response{}, err
	}
	if len(vms) != 1 || vms[0].Name != rq.PathValue("name") {
		return response{}, classifier.New(classifier.MalformedRequest, "body must list exactly one VM, named %s", rq.PathValue("name"))
	}
	ah.keeper.PutVM(vms[0])
	return response{}, nil
}

func (ah *adminHandler) removeVM(rq *http.Request) (response, error) {
	return response{}, ah.keeper.RemoveVM(rq.PathValue("name"))
}

// setVMState sets a VM's state to the query parameter "state".
func (ah *adminHandler) setVMState(rq *http.Request) (response, error) {
	state := storer.VMState(rq.URL.Query().Get("state"))
	return response{}, ah.keeper.SetVMState(rq.PathValue("name"), state)
}

func readBody(rq *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxAdminBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.MalformedRequest, "read request body")
	}
	if len(body) > maxAdminBytes {
		return nil, classifier.New(classifier.RequestTooLarge, "request body is larger than %d bytes", maxAdminBytes)
	}
	return body, nil
}
