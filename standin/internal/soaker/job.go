package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// meanJobWork is about the mean processor time of a job, in core-seconds.
const meanJobWork = 4 * time.Second

// The tasks of the jobs.
const (
	taskMilliCores = 1500
	taskMemoryMB   = 500
	// checkpointedTime is the duration of tasks that save checkpoints, which is
	// longer than the time between two.
	checkpointedTime = 2500 * time.Millisecond
	minTaskTime      = 100 * time.Millisecond
	maxTaskTime      = 800 * time.Millisecond
	// longFactor is the factor by which the tasks of some jobs take longer.
	longFactor = 25
	// longTasks is the number of tasks of a long-running job.
	longTasks      = 2
	startUpTime    = 300 * time.Millisecond
	maxOccurrences = 3
	// maxFirstDelay is the longest time until the first occurrence of a job is due.
	maxFirstDelay = 1500 * time.Millisecond
	maxInterval   = 1200 * time.Millisecond
)

// job is a job that a caller submits.
type job struct {
	modeller.Job
	path string
	body []byte

	mu sync.Mutex
	// answers are those of its requests, in the order in which they arrived.
	answers []answer
}

// answer is the answer of a manager to a request on a job.
type answer struct {
	method       string
	manager      int
	sentAt, at   time.Time
	status       int
	state        modeller.JobState
	isUnanswered bool
	// isTimedOut is true if the request was sent and the connection held without an answer.
	isTimedOut bool
}

func (as answer) isSuccess() bool {
	return !as.isUnanswered && as.status >= http.StatusOK && as.status < http.StatusMultipleChoices
}

// isRefusal reports whether the answer means that the job was not accepted.
func (as answer) isRefusal() bool {
	return !as.isUnanswered && (as.status == http.StatusTooManyRequests || as.status == http.StatusServiceUnavailable)
}

// isAmbiguous reports whether the job may have been accepted.
func (as answer) isAmbiguous() bool {
	return as.isUnanswered || as.status == http.StatusBadGateway || as.status == http.StatusGatewayTimeout
}

// stepBody is the wire form of a step.
type stepBody struct {
	Count         int     `json:"count"`
	CPU           int     `json:"cpu"`
	MemMB         int     `json:"mem_mb"`
	EstimateMS    float64 `json:"estimate_ms"`
	After         []int   `json:"after,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	Constraints   string  `json:"constraints,omitempty"`
	LongRunning   bool    `json:"long_running,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`
	AntiAffinity  int     `json:"anti_affinity,omitempty"`
}

// newJob draws a job for a queue.
func newJob(random *rand.Rand, now time.Time, queue modeller.Queue, mayBeLong bool, longShare float64) *job {
	duration := minTaskTime + time.Duration(random.Int64N(int64(maxTaskTime-minTaskTime)))
	if longShare > 0 && random.Float64() < longShare {
		duration *= longFactor
	}
	jb := &job{
		Job: modeller.Job{
			ID:     modeller.JobID(fmt.Sprintf("%016x", random.Uint64())),
			Queue:  queue.Name,
			Origin: queue,
		},
	}
	jb.path = queue.Prefix + string(jb.ID)
	step := modeller.Step{
		Count: 1 + random.IntN(4),
		Demand: modeller.Resources{
			MilliCores: taskMilliCores,
			MemoryMB:   taskMemoryMB,
		},
		Estimate: duration,
	}
	switch kind := random.IntN(10); {
	case kind == 0 && mayBeLong:
		step.Count = longTasks
		step.IsLongRunning = true
		step.MaxUnavailable = 1
		step.MaxPerWorker = random.IntN(2)
		duration = startUpTime
	case kind <= 2:
		jb.Occurrences = 1 + random.IntN(maxOccurrences)
		jb.FirstAt = now.Add(time.Duration(random.Int64N(int64(maxFirstDelay)))).Truncate(time.Millisecond)
		jb.Interval = time.Duration(random.Int64N(int64(maxInterval))).Truncate(time.Millisecond)
	case kind == 3:
		step.Count = 2 + random.IntN(2)
		step.IsGang = true
		step.IsCheckpointing = random.IntN(2) == 0
	case kind == 4:
		step.IsCheckpointing = true
		duration = checkpointedTime
	case kind == 5:
		step.RequiredLabel = racks[random.IntN(len(racks))]
	}
	jb.Steps = append(jb.Steps, step)
	for !step.IsLongRunning && len(jb.Steps) < 3 && random.IntN(2) == 0 {
		next := step
		next.IsGang = false
		next.Count = 1 + random.IntN(3)
		next.DependsOn = []int{random.IntN(len(jb.Steps))}
		jb.Steps = append(jb.Steps, next)
	}
	jb.body = jb.encode(duration)
	return jb
}

// encode sets the payload that the workers of the platform's stand-in read, and
// returns the body of the job's submission.
func (jb *job) encode(duration time.Duration) []byte {
	jb.Payload = string(marshal(map[string]any{"workMs": duration.Milliseconds()}))
	body := map[string]any{"spec": jb.Payload}
	if jb.Occurrences > 0 {
		body["repeat_count"] = jb.Occurrences
		body["start_at_ms"] = jb.FirstAt.UnixMilli()
		body["interval_ms"] = jb.Interval.Milliseconds()
	}
	var steps []stepBody
	for _, st := range jb.Steps {
		steps = append(steps, stepBody{
			Count:         st.Count,
			CPU:           st.Demand.MilliCores,
			MemMB:         st.Demand.MemoryMB,
			EstimateMS:    float64(st.Estimate.Milliseconds()),
			After:         st.DependsOn,
			Checkpointing: st.IsCheckpointing,
			Gang:          st.IsGang,
			Constraints:   st.RequiredLabel,
			LongRunning:   st.IsLongRunning,
			MayMiss:       st.MaxUnavailable,
			AntiAffinity:  st.MaxPerWorker,
		})
	}
	body["steps"] = steps
	return marshal(body)
}

// marshal returns the JSON form of a value that always has one.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("soaker: " + err.Error())
	}
	return data
}

func (jb *job) isLong() bool { return jb.Steps[0].IsLongRunning }

// tasks returns the job's tasks.
func (jb *job) tasks() []modeller.TaskName {
	var names []modeller.TaskName
	for occurrence := range max(jb.Occurrences, 1) {
		for step, st := range jb.Steps {
			for index := range st.Count {
				names = append(names, modeller.TaskName{
					Job:        jb.ID,
					Occurrence: occurrence,
					Step:       step,
					Index:      index,
				})
			}
		}
	}
	return names
}

// members returns a task, or all members of its gang.
func (jb *job) members(name modeller.TaskName) []modeller.TaskName {
	if !jb.Steps[name.Step].IsGang {
		return []modeller.TaskName{name}
	}
	var names []modeller.TaskName
	for index := range jb.Steps[name.Step].Count {
		name.Index = index
		names = append(names, name)
	}
	return names
}

// dueAt returns when an occurrence is due.
func (jb *job) dueAt(occurrence int) time.Time {
	return jb.FirstAt.Add(time.Duration(occurrence) * jb.Interval)
}

// prefix returns the path prefix of the job's queue.
func (jb *job) prefix() string { return strings.TrimSuffix(jb.path, string(jb.ID)) }

// record adds an answer.
func (jb *job) record(as answer) {
	jb.mu.Lock()
	defer jb.mu.Unlock()
	jb.answers = append(jb.answers, as)
}

// find returns the first answer to a method that matches.
func (jb *job) find(method string, matches func(as answer) bool) (answer, bool) {
	jb.mu.Lock()
	defer jb.mu.Unlock()
	for _, as := range jb.answers {
		if as.method == method && matches(as) {
			return as, true
		}
	}
	return answer{}, false
}

// accepted returns the first answer by which the job was accepted.
func (jb *job) accepted() (answer, bool) { return jb.find(http.MethodPost, answer.isSuccess) }

// cancelSent reports whether a caller has sent a cancellation.
func (jb *job) cancelSent() bool {
	_, ok := jb.find(http.MethodDelete, func(answer) bool { return true })
	return ok
}

// mayBeAccepted reports whether a request to submit the job was accepted or may have
// been.
func (jb *job) mayBeAccepted() bool {
	_, ok := jb.find(http.MethodPost, func(as answer) bool { return as.isSuccess() || as.isAmbiguous() })
	return ok
}
