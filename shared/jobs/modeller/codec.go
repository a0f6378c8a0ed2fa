package modeller

import (
	"encoding/json"
	"math"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// jobRecord is the stored form of a JobRecord.
type jobRecord struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Host and Prefix are the address of the queue, and Origin its settings.
	Host   string       `json:"host,omitempty"`
	Prefix string       `json:"prefix,omitempty"`
	Origin *queueRecord `json:"origin,omitempty"`
	// Team is absent if the job has none.
	Team string `json:"team,omitempty"`
	// Payload is part of the records of earlier versions.
	Payload string `json:"payload,omitempty"`
	// IsPayloadSeparate is true if the payload has a key of its own.
	IsPayloadSeparate bool         `json:"isPayloadSeparate,omitempty"`
	Steps             []stepRecord `json:"steps,omitempty"`
	Occurrences       int          `json:"occurrences,omitempty"`
	FirstAtMS         int64        `json:"firstAtMs,omitempty"`
	IntervalMS        int64        `json:"intervalMs,omitempty"`
	AcceptedAtMS      int64        `json:"acceptedAtMs,omitempty"`
	FinalState        string       `json:"finalState,omitempty"`
	EndedAtMS         int64        `json:"endedAtMs,omitempty"`
	// IsTombstone is unknown to earlier versions, which take the job for one that was
	// cancelled.
	IsTombstone bool `json:"isTombstone,omitempty"`
}

// queueRecord is the stored form of the settings of a queue.
type queueRecord struct {
	Pool        string        `json:"pool"`
	Priority    int           `json:"priority,omitempty"`
	MaxAttempts int           `json:"maxAttempts,omitempty"`
	Stretch     float64       `json:"stretch,omitempty"`
	SlackMS     int64         `json:"slackMs,omitempty"`
	Advice      *adviceRecord `json:"advice,omitempty"`
}

// adviceRecord is the stored form of the settings of a queue's advice service.
type adviceRecord struct {
	DecisionMS  int64 `json:"decisionMs,omitempty"`
	PerWorkerMS int64 `json:"perWorkerMs,omitempty"`
	ValidityMS  int64 `json:"validityMs,omitempty"`
}

// stepRecord is the stored form of a Step.
type stepRecord struct {
	Count           int    `json:"count"`
	MilliCores      int    `json:"milliCores,omitempty"`
	MemoryMB        int    `json:"memoryMb,omitempty"`
	Accelerators    int    `json:"accelerators,omitempty"`
	EstimateMS      int64  `json:"estimateMs,omitempty"`
	DependsOn       []int  `json:"after,omitempty"`
	IsCheckpointing bool   `json:"isCheckpointing,omitempty"`
	IsGang          bool   `json:"isGang,omitempty"`
	IsSameRack      bool   `json:"isSameRack,omitempty"`
	IsSpeculative   bool   `json:"isSpeculative,omitempty"`
	IsLongRunning   bool   `json:"isLongRunning,omitempty"`
	IsFilling       bool   `json:"isFilling,omitempty"`
	RequiredLabel   string `json:"requiredLabel,omitempty"`
	PreferredRack   string `json:"preferredRack,omitempty"`
	MaxPerWorker    int    `json:"maxPerWorker,omitempty"`
	Image           string `json:"image,omitempty"`
	LatencyTargetMS int64  `json:"latencyTargetMs,omitempty"`
	MaxUnavailable  int    `json:"maxAway,omitempty"`
}

// EncodeJob returns the stored form of a job's record, which does not contain the
// payload.
func EncodeJob(jr JobRecord) ([]byte, error) {
	rec := jobRecord{
		ID:          string(jr.Job.ID),
		Queue:       jr.Job.Queue,
		Host:        jr.Job.Origin.Host,
		Prefix:      jr.Job.Origin.Prefix,
		Team:        jr.Job.Team,
		Occurrences: jr.Job.Occurrences,
		IntervalMS:  jr.Job.Interval.Milliseconds(),
		FinalState:  string(jr.FinalState),
		EndedAtMS:   jr.EndedAtMS,
		IsTombstone: jr.IsTombstone,
	}
	if jr.Job.Occurrences > 0 {
		rec.FirstAtMS = jr.Job.FirstAt.UnixMilli()
	}
	if !jr.Job.AcceptedAt.IsZero() {
		rec.AcceptedAtMS = jr.Job.AcceptedAt.UnixMilli()
	}
	for _, st := range jr.Job.Steps {
		rec.Steps = append(rec.Steps, encodeStep(st))
	}
	rec.IsPayloadSeparate = len(rec.Steps) > 0
	if len(rec.Steps) > 0 && jr.Job.Origin.Pool != "" {
		rec.Origin = encodeQueue(jr.Job.Origin)
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "job %s", jr.Job.ID)
	}
	return data, nil
}

func encodeStep(st Step) stepRecord {
	return stepRecord{
		Count:           st.Count,
		MilliCores:      st.Demand.MilliCores,
		MemoryMB:        st.Demand.MemoryMB,
		Accelerators:    st.Demand.Accelerators,
		EstimateMS:      st.Estimate.Milliseconds(),
		DependsOn:       st.DependsOn,
		IsCheckpointing: st.IsCheckpointing,
		IsGang:          st.IsGang,
		IsSameRack:      st.IsSameRack,
		IsSpeculative:   st.IsSpeculative,
		IsLongRunning:   st.IsLongRunning,
		IsFilling:       st.IsFilling,
		RequiredLabel:   st.RequiredLabel,
		PreferredRack:   st.PreferredRack,
		MaxPerWorker:    st.MaxPerWorker,
		Image:           st.Image,
		LatencyTargetMS: st.LatencyTarget.Milliseconds(),
		MaxUnavailable:  st.MaxUnavailable,
	}
}

// DecodeJob returns the record of a stored job.
func DecodeJob(data []byte) (JobRecord, error) {
	var rec jobRecord
	if err := json.Unmarshal(data, &rec); err != nil {
		return JobRecord{}, classifier.Wrap(err, classifier.RecordInvalid, "job record")
	}
	if rec.ID == "" || rec.Queue == "" {
		return JobRecord{}, classifier.New(classifier.RecordInvalid, "job record without id or queue")
	}
	finalState := JobState(rec.FinalState)
	if finalState != "" && !finalState.IsFinal() {
		return JobRecord{}, classifier.New(classifier.RecordInvalid, "record of job %s with final state %q", rec.ID, rec.FinalState)
	}
	jr := JobRecord{
		Job: Job{
			ID:          JobID(rec.ID),
			Queue:       rec.Queue,
			Origin:      rec.origin(),
			Team:        rec.Team,
			Payload:     rec.Payload,
			Occurrences: rec.Occurrences,
			Interval:    milliseconds(rec.IntervalMS),
		},
		HasPayload: !rec.IsPayloadSeparate && len(rec.Steps) > 0,
		FinalState: finalState,
		EndedAtMS:  rec.EndedAtMS,

		IsTombstone: rec.IsTombstone && finalState != "",
	}
	if rec.Occurrences > 0 {
		jr.Job.FirstAt = time.UnixMilli(rec.FirstAtMS)
	}
	if rec.AcceptedAtMS != 0 {
		jr.Job.AcceptedAt = time.UnixMilli(rec.AcceptedAtMS)
	}
	for _, sr := range rec.Steps {
		jr.Job.Steps = append(jr.Job.Steps, decodeStep(sr))
	}
	if finalState == "" {
		if err := jr.Job.Validate(); err != nil {
			return JobRecord{}, classifier.Wrap(err, classifier.RecordInvalid, "record of job %s", rec.ID)
		}
	}
	return jr, nil
}

// milliseconds returns a duration, which is negative if it is out of range.
func milliseconds(number int64) time.Duration {
	if number < 0 || number > math.MaxInt64/int64(time.Millisecond) {
		return -1
	}
	return time.Duration(number) * time.Millisecond
}

func encodeQueue(qu Queue) *queueRecord {
	rec := &queueRecord{
		Pool:        qu.Pool,
		Priority:    qu.Priority,
		MaxAttempts: qu.MaxAttempts,
		Stretch:     qu.Stretch,
		SlackMS:     qu.Slack.Milliseconds(),
	}
	if qu.Advice != nil {
		rec.Advice = &adviceRecord{
			DecisionMS:  qu.Advice.DecisionTime.Milliseconds(),
			PerWorkerMS: qu.Advice.TimePerWorker.Milliseconds(),
			ValidityMS:  qu.Advice.Validity.Milliseconds(),
		}
	}
	return rec
}

// origin returns the queue as it was configured when the job was accepted. It has no
// pool in records of earlier versions and of jobs that have ended.
func (jr jobRecord) origin() Queue {
	qu := Queue{
		Name:   jr.Queue,
		Host:   jr.Host,
		Prefix: jr.Prefix,
	}
	if jr.Origin == nil {
		return qu
	}
	qu.Pool = jr.Origin.Pool
	qu.Priority = jr.Origin.Priority
	qu.MaxAttempts = jr.Origin.MaxAttempts
	qu.Stretch = jr.Origin.Stretch
	qu.Slack = milliseconds(jr.Origin.SlackMS)
	if advice := jr.Origin.Advice; advice != nil {
		qu.Advice = &Advice{
			DecisionTime:  milliseconds(advice.DecisionMS),
			TimePerWorker: milliseconds(advice.PerWorkerMS),
			Validity:      milliseconds(advice.ValidityMS),
		}
	}
	return qu
}

func decodeStep(sr stepRecord) Step {
	return Step{
		Count: sr.Count,
		Demand: Resources{
			MilliCores:   sr.MilliCores,
			MemoryMB:     sr.MemoryMB,
			Accelerators: sr.Accelerators,
		},
		Estimate:        milliseconds(sr.EstimateMS),
		DependsOn:       sr.DependsOn,
		IsCheckpointing: sr.IsCheckpointing,
		IsGang:          sr.IsGang,
		IsSameRack:      sr.IsSameRack,
		IsSpeculative:   sr.IsSpeculative,
		IsLongRunning:   sr.IsLongRunning,
		IsFilling:       sr.IsFilling,
		RequiredLabel:   sr.RequiredLabel,
		PreferredRack:   sr.PreferredRack,
		MaxPerWorker:    sr.MaxPerWorker,
		Image:           sr.Image,
		LatencyTarget:   milliseconds(sr.LatencyTargetMS),
		MaxUnavailable:  sr.MaxUnavailable,
	}
}
