package distributor

import (
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

func pointer[T any](value T) *T { return &value }

var testTask = modeller.TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 300}

// toKeeperMessages has each message to keepers, by the name of its golden file.
var toKeeperMessages = map[string]ToKeeper{
	"permit":  Permit{Number: 7},
	"attend":  Attend{Handle: 3, Worker: "i-7f3a91c2", Address: netip.MustParseAddrPort("10.1.64.9:8661"), StartedAtMS: 1_700_000_000_000, Generation: 300},
	"leave":   Leave{Handle: 3},
	"payload": Payload{Job: testTask.Job, Text: "(text)"},
	"fetch":   Fetch{Job: "A job's own name", Queue: "claims"},
	"forget":  Forget{Job: testTask.Job},
	"poll":    Poll{Handle: 3, Number: 900, IsFull: true, LeaseEnd: 486 * time.Second, AcknowledgedEnds: 57, ProcessedEnds: 58, Wait: time.Second},
	"start":   Start{Handle: 3, Task: testTask, Attempt: 2, Checkpoint: "00000bb8", Ticket: "t", LeaseEnd: 486 * time.Second, ReportAge: 20 * time.Millisecond, FreeMilliCores: 1500},
	"stop":    Stop{Handle: 3, Task: testTask, Attempt: 2},
	"pace":    Pace{Handle: 3, Task: testTask, Attempt: 2, Percent: 25},
	"backlog": Backlog{Age: 20 * time.Millisecond, Pools: map[string]admitter.Backlog{"empty": {Cores: 32}, "p": testBacklog}},
}

// toSchedulerMessages has each message to the scheduler.
var toSchedulerMessages = map[string]ToScheduler{
	"ask":     Ask{Number: 7},
	"missing": Missing{Job: testTask.Job},
	"report": Report{
		Handle:      3,
		Number:      900,
		StartedAtMS: 1_700_000_000_000,
		Clock:       482113 * time.Millisecond,
		Changes: []RunChange{
			{},
			{IsGone: true},
			{Progress: pointer(41), Load: pointer(1800), Checkpoint: pointer("c")},
		},
		Added:       []modeller.Run{{Task: testTask, Attempt: 2, Checkpoint: "c", Progress: 10, Load: 5}},
		Ended:       []modeller.End{{Number: 58, Task: testTask, Attempt: 1, Kind: modeller.EndDone}},
		HasMoreEnds: true,
	},
	"pollFailure": PollFailure{Handle: 3, Number: 900, Outcome: allocator.Unanswered},
	"startAnswer": StartAnswer{Handle: 3, Task: testTask, Attempt: 2, Outcome: allocator.Accepted, Clock: 482113 * time.Millisecond},
	"stopAnswer":  StopAnswer{Handle: 3, Task: testTask, Attempt: 2, Outcome: allocator.Outdated},
	"paceAnswer":  PaceAnswer{Handle: 3, Task: testTask, Attempt: 2, Percent: 25, Outcome: allocator.Fenced},
}

// compareGolden compares an encoded message with its golden file, in which bytes
// are hexadecimal digits. UPDATE_GOLDEN rewrites the file.
func compareGolden(t *testing.T, name string, encoded []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".hex")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, strings.TrimSpace(string(golden)), hex.EncodeToString(encoded), must.Sprint(name))
}

func TestMessagesKeepTheirFormat(t *testing.T) {
	for name, msg := range toKeeperMessages {
		encoded := AppendToKeeper(nil, msg)
		compareGolden(t, name, encoded)
		decoded, err := DecodeToKeeper(encoded)
		must.NoError(t, err)
		must.Eq(t, []ToKeeper{msg}, decoded)
	}
	for name, msg := range toSchedulerMessages {
		encoded := AppendToScheduler(nil, msg)
		compareGolden(t, name, encoded)
		decoded, err := DecodeToScheduler(encoded)
		must.NoError(t, err)
		must.Eq(t, []ToScheduler{msg}, decoded)
	}
}

func TestInvalidAddressConcernsItsWorkerOnly(t *testing.T) {
	decoded, err := DecodeToKeeper(AppendToKeeper(nil, Attend{Handle: 1, Worker: "i-1"}))
	must.NoError(t, err)
	must.Eq(t, []ToKeeper{Attend{Handle: 1, Worker: "i-1"}}, decoded)
}

func TestFrameHoldsSeveralMessages(t *testing.T) {
	frame := AppendToKeeper(AppendToKeeper(nil, Permit{Number: 1}), Leave{Handle: 2})
	decoded, err := DecodeToKeeper(frame)
	must.NoError(t, err)
	must.Eq(t, []ToKeeper{Permit{Number: 1}, Leave{Handle: 2}}, decoded)
	for length := 1; length < len(frame); length++ {
		if length == len(frame)/2 {
			continue
		}
		_, err := DecodeToKeeper(frame[:length])
		must.Error(t, err, must.Sprintf("frame of %d bytes", length))
	}
}

// The sizes of the messages for an ordinary task bound the traffic of the
// scheduler: a start, its answer, a poll and a report with an end.
func TestMessagesOfATaskAreSmall(t *testing.T) {
	task := modeller.TaskName{Job: "5c0e7a21d94b36f8", Step: 1, Index: 7}
	size := len(AppendToKeeper(nil, Start{Handle: 200, Task: task, Attempt: 1, LeaseEnd: time.Hour, ReportAge: time.Second, FreeMilliCores: 16000}))
	size += len(AppendToScheduler(nil, StartAnswer{Handle: 200, Task: task, Attempt: 1, Clock: time.Hour}))
	size += len(AppendToKeeper(nil, Poll{Handle: 200, Number: 1 << 20, LeaseEnd: time.Hour, AcknowledgedEnds: 1000, ProcessedEnds: 1000, Wait: time.Second}))
	unchanged := make([]RunChange, 7)
	unchanged[3].IsGone = true
	size += len(AppendToScheduler(nil, Report{
		Handle:      200,
		Number:      1 << 20,
		StartedAtMS: 1_700_000_000_000,
		Clock:       time.Hour,
		Changes:     unchanged,
		Added:       []modeller.Run{{Task: task, Attempt: 1, Progress: 50}},
		Ended:       []modeller.End{{Number: 1000, Task: task, Attempt: 1, Kind: modeller.EndDone}},
	}))
	must.LessEq(t, 200, size, must.Sprint("bytes for a task, both ways"))
	idle := len(AppendToKeeper(nil, Poll{Handle: 200, Number: 1 << 20, LeaseEnd: time.Hour, AcknowledgedEnds: 1000, ProcessedEnds: 1000, Wait: time.Second})) +
		len(AppendToScheduler(nil, Report{Handle: 200, Number: 1 << 20, StartedAtMS: 1_700_000_000_000, Clock: time.Hour}))
	must.LessEq(t, 50, idle, must.Sprint("bytes for a poll of an idle worker, both ways"))
}

func FuzzDecodeToKeeper(f *testing.F) {
	for _, msg := range toKeeperMessages {
		f.Add(AppendToKeeper(nil, msg))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := DecodeToKeeper(frame)
		if err != nil {
			must.Nil(t, messages)
			return
		}
		kp := NewKeeper()
		for _, msg := range messages {
			if _, _, err := kp.Receive(msg); err != nil {
				return
			}
		}
	})
}

func FuzzDecodeToScheduler(f *testing.F) {
	for _, msg := range toSchedulerMessages {
		f.Add(AppendToScheduler(nil, msg))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := DecodeToScheduler(frame)
		if err != nil {
			must.Nil(t, messages)
			return
		}
		di, now := newConnected("k")
		di.Dispatch(now, []allocator.Order{allocator.PollOrder{Worker: testWorker}, allocator.StartOrder{Worker: testWorker, Task: testTask, Attempt: 2}})
		for _, msg := range messages {
			if _, err := di.Receive(now, "k", msg, true); err != nil {
				return
			}
		}
	})
}
