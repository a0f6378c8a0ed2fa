package target

import (
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// wireReport is the JSON form of a report, for GET /ran.
type wireReport struct {
	Target              string          `json:"target"`
	GreatestInFlight    int             `json:"greatestInFlight"`
	OvercommitSeconds   float64         `json:"overcommitSeconds"`
	GreatestConnections int             `json:"greatestConnections"`
	RefusedConnections  int             `json:"refusedConnections"`
	RefusedUnread       int             `json:"refusedUnread"`
	Executions          []wireExecution `json:"executions"`
}

type wireExecution struct {
	Identifier string    `json:"identifier"`
	RequestID  string    `json:"requestId"`
	Key        string    `json:"idempotencyKey"`
	Attempt    string    `json:"attempt"`
	Long       bool      `json:"long"`
	BodyWhole  bool      `json:"bodyWhole"`
	Begin      time.Time `json:"begin"`
	End        time.Time `json:"end,omitzero"`
	Finished   bool      `json:"finished"`
	Status     int       `json:"status"`
}

// EncodeReport returns the report as JSON.
func EncodeReport(rt Report) ([]byte, error) {
	wr := wireReport{
		Target:              rt.Target,
		GreatestInFlight:    rt.GreatestInFlight,
		OvercommitSeconds:   rt.Overcommit.Seconds(),
		GreatestConnections: rt.GreatestConnections,
		RefusedConnections:  rt.RefusedConnections,
		RefusedUnread:       rt.RefusedUnread,
		Executions:          make([]wireExecution, 0, len(rt.Executions)),
	}
	for _, en := range rt.Executions {
		wr.Executions = append(wr.Executions, wireExecution(en))
	}
	return json.Marshal(wr)
}

// DecodeReport decodes a report from the form of EncodeReport. Errors carry the
// code AnswerInvalid.
func DecodeReport(data []byte) (Report, error) {
	var wr wireReport
	if err := json.Unmarshal(data, &wr); err != nil {
		return Report{}, classifier.Wrap(err, classifier.AnswerInvalid, "decode report of a target")
	}
	rt := Report{
		Target:              wr.Target,
		GreatestInFlight:    wr.GreatestInFlight,
		Overcommit:          time.Duration(wr.OvercommitSeconds * float64(time.Second)),
		GreatestConnections: wr.GreatestConnections,
		RefusedConnections:  wr.RefusedConnections,
		RefusedUnread:       wr.RefusedUnread,
		Executions:          make([]Execution, 0, len(wr.Executions)),
	}
	for _, we := range wr.Executions {
		rt.Executions = append(rt.Executions, Execution(we))
	}
	return rt, nil
}
