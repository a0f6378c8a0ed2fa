package platform

import (
	"io"
	"net/http"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// maxAdminBytes is the largest body that the admin port reads.
const maxAdminBytes = 1 << 20

// adminHandler answers the calls to the admin port.
type adminHandler struct {
	keeper *keeper.Keeper
}

func (ah *adminHandler) counts(*http.Request) (answer, error) {
	return inJSON(EncodeCounts(ah.keeper.Counts()))
}

func (ah *adminHandler) faults(*http.Request) (answer, error) {
	return inJSON(EncodeFaults(ah.keeper.Faults()))
}

// setFaults replaces all faults.
func (ah *adminHandler) setFaults(rq *http.Request) (answer, error) {
	body, err := readBody(rq)
	if err != nil {
		return answer{}, err
	}
	faults, err := DecodeFaults(body)
	if err != nil {
		return answer{}, err
	}
	return answer{}, ah.keeper.SetFaults(faults...)
}

// vms answers with the VMs as they are now.
func (ah *adminHandler) vms(*http.Request) (answer, error) {
	return inJSON(storer.EncodeVMs(ah.keeper.VMs()))
}

// putVM adds or replaces the VM in the body's list, which holds it alone.
func (ah *adminHandler) putVM(rq *http.Request) (answer, error) {
	body, err := readBody(rq)
	if err != nil {
		return answer{}, err
	}
	vms, err := storer.DecodeVMs(body)
	if err != nil {
		return answer{}, err
	}
	if len(vms) != 1 || vms[0].Name != rq.PathValue("name") {
		return answer{}, classifier.New(classifier.MalformedRequest, "the body is not the one VM %s", rq.PathValue("name"))
	}
	ah.keeper.PutVM(vms[0])
	return answer{}, nil
}

func (ah *adminHandler) removeVM(rq *http.Request) (answer, error) {
	return answer{}, ah.keeper.RemoveVM(rq.PathValue("name"))
}

// setVMState changes a VM's state to the one in the query.
func (ah *adminHandler) setVMState(rq *http.Request) (answer, error) {
	state := storer.VMState(rq.URL.Query().Get("state"))
	return answer{}, ah.keeper.SetVMState(rq.PathValue("name"), state)
}

func readBody(rq *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxAdminBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.MalformedRequest, "read body")
	}
	if len(body) > maxAdminBytes {
		return nil, classifier.New(classifier.RequestTooLarge, "body over %d bytes", maxAdminBytes)
	}
	return body, nil
}
