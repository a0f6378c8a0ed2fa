package distributor

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// The format: a message is a byte with its type and its fields in a fixed order.
// Numbers are varints, durations are in milliseconds, and strings and addresses
// have their length before them. A frame is a sequence of messages.

// messageType is the first byte of a message. The numbers of removed types must
// not be used again.
type messageType byte

const (
	typePermit messageType = iota + 1
	typeAttend
	typeLeave
	typePayload
	typeForget
	typePoll
	typeStart
	typeStop
	typePace
)

const (
	typeAsk messageType = iota + 64
	typeReport
	typePollFailure
	typeStartAnswer
	typeStopAnswer
	typePaceAnswer
)

const (
	// maxStringBytes limits the length of a string; payloads have at most 4,000
	// bytes.
	maxStringBytes = 64 << 10
	// maxListLength limits the length of a list.
	maxListLength = 1 << 16
	// jobIDBytes is the length of an ID in hexadecimal digits once decoded.
	jobIDBytes = 8
)

// The first byte of a job's ID tells its form.
const (
	jobIDText byte = iota
	jobIDHex
)

// The bits of the first byte of a RunChange.
const (
	changeGone = 1 << iota
	changeProgress
	changeLoad
	changeCheckpoint
)

// AppendToKeeper appends the encoded form of a message to a frame.
func AppendToKeeper(frame []byte, msg ToKeeper) []byte {
	switch msg := msg.(type) {
	case Permit:
		frame = appendUint(append(frame, byte(typePermit)), msg.Number)
	case Attend:
		frame = appendUint(append(frame, byte(typeAttend)), uint64(msg.Handle))
		frame = appendString(frame, string(msg.Worker))
		frame = appendString(frame, msg.Address.String())
	case Leave:
		frame = appendUint(append(frame, byte(typeLeave)), uint64(msg.Handle))
	case Payload:
		frame = appendJobID(append(frame, byte(typePayload)), msg.Job)
		frame = appendString(frame, msg.Text)
	case Forget:
		frame = appendJobID(append(frame, byte(typeForget)), msg.Job)
	case Poll:
		frame = appendUint(append(frame, byte(typePoll)), uint64(msg.Handle))
		frame = appendUint(frame, msg.Number)
		frame = appendBool(frame, msg.IsFull)
		frame = appendDuration(frame, msg.LeaseEnd)
		frame = appendInt(frame, msg.AcknowledgedEnds)
		frame = appendInt(frame, msg.ProcessedEnds)
		frame = appendDuration(frame, msg.Wait)
	case Start:
		frame = appendUint(append(frame, byte(typeStart)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = appendString(frame, msg.Checkpoint)
		frame = appendString(frame, msg.Ticket)
		frame = appendDuration(frame, msg.LeaseEnd)
		frame = appendDuration(frame, msg.ReportAge)
		frame = appendInt(frame, int64(msg.FreeMilliCores))
	case Stop:
		frame = appendUint(append(frame, byte(typeStop)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
	case Pace:
		frame = appendUint(append(frame, byte(typePace)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = appendInt(frame, int64(msg.Percent))
	}
	return frame
}

// AppendToScheduler appends the encoded form of a message to a frame.
func AppendToScheduler(frame []byte, msg ToScheduler) []byte {
	switch msg := msg.(type) {
	case Ask:
		frame = appendUint(append(frame, byte(typeAsk)), msg.Number)
	case Report:
		frame = appendReport(append(frame, byte(typeReport)), msg)
	case PollFailure:
		frame = appendUint(append(frame, byte(typePollFailure)), uint64(msg.Handle))
		frame = appendUint(frame, msg.Number)
		frame = append(frame, byte(msg.Outcome))
	case StartAnswer:
		frame = appendUint(append(frame, byte(typeStartAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = append(frame, byte(msg.Outcome))
		frame = appendDuration(frame, msg.Clock)
	case StopAnswer:
		frame = appendUint(append(frame, byte(typeStopAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = append(frame, byte(msg.Outcome))
	case PaceAnswer:
		frame = appendUint(append(frame, byte(typePaceAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = appendInt(frame, int64(msg.Percent))
		frame = append(frame, byte(msg.Outcome))
	}
	return frame
}

func appendReport(frame []byte, msg Report) []byte {
	frame = appendUint(frame, uint64(msg.Handle))
	frame = appendUint(frame, msg.Number)
	frame = appendInt(frame, msg.StartedAtMS)
	frame = appendDuration(frame, msg.Clock)
	frame = appendUint(frame, uint64(len(msg.Changes)))
	for _, rc := range msg.Changes {
		frame = appendRunChange(frame, rc)
	}
	frame = appendUint(frame, uint64(len(msg.Added)))
	for _, rn := range msg.Added {
		frame = appendRun(frame, rn.Task, rn.Attempt)
		frame = appendString(frame, rn.Checkpoint)
		frame = appendInt(frame, int64(rn.Progress))
		frame = appendInt(frame, int64(rn.Load))
	}
	frame = appendUint(frame, uint64(len(msg.Ended)))
	for _, end := range msg.Ended {
		frame = appendInt(frame, end.Number)
		frame = appendRun(frame, end.Task, end.Attempt)
		frame = appendString(frame, string(end.Kind))
		frame = appendString(frame, end.Checkpoint)
	}
	return appendBool(frame, msg.HasMoreEnds)
}

func appendRunChange(frame []byte, rc RunChange) []byte {
	var bits byte
	if rc.IsGone {
		bits |= changeGone
	}
	if rc.Progress != nil {
		bits |= changeProgress
	}
	if rc.Load != nil {
		bits |= changeLoad
	}
	if rc.Checkpoint != nil {
		bits |= changeCheckpoint
	}
	frame = append(frame, bits)
	if rc.Progress != nil {
		frame = appendInt(frame, int64(*rc.Progress))
	}
	if rc.Load != nil {
		frame = appendInt(frame, int64(*rc.Load))
	}
	if rc.Checkpoint != nil {
		frame = appendString(frame, *rc.Checkpoint)
	}
	return frame
}

func appendUint(frame []byte, number uint64) []byte { return binary.AppendUvarint(frame, number) }

func appendInt(frame []byte, number int64) []byte { return binary.AppendVarint(frame, number) }

func appendDuration(frame []byte, duration time.Duration) []byte {
	return appendInt(frame, duration.Milliseconds())
}

func appendBool(frame []byte, value bool) []byte {
	if value {
		return append(frame, 1)
	}
	return append(frame, 0)
}

func appendString(frame []byte, text string) []byte {
	return append(appendUint(frame, uint64(len(text))), text...)
}

// appendJobID appends an ID of sixteen lower-case hexadecimal digits as eight
// bytes, and any other as text.
func appendJobID(frame []byte, id modeller.JobID) []byte {
	var decoded [jobIDBytes]byte
	if len(id) == hex.EncodedLen(jobIDBytes) {
		if _, err := hex.Decode(decoded[:], []byte(id)); err == nil && hex.EncodeToString(decoded[:]) == string(id) {
			return append(append(frame, jobIDHex), decoded[:]...)
		}
	}
	return appendString(append(frame, jobIDText), string(id))
}

func appendRun(frame []byte, task modeller.TaskName, attempt int) []byte {
	frame = appendJobID(frame, task.Job)
	frame = appendUint(frame, uint64(task.Occurrence))
	frame = appendUint(frame, uint64(task.Step))
	frame = appendUint(frame, uint64(task.Index))
	return appendInt(frame, int64(attempt))
}

// DecodeToKeeper returns the messages of a frame from the scheduler.
func DecodeToKeeper(frame []byte) ([]ToKeeper, error) {
	var messages []ToKeeper
	rd := &reader{
		rest: frame,
	}
	for len(rd.rest) > 0 && rd.err == nil {
		messages = append(messages, rd.toKeeper())
	}
	if rd.err != nil {
		return nil, rd.err
	}
	return messages, nil
}

// DecodeToScheduler returns the messages of a frame from a keeper.
func DecodeToScheduler(frame []byte) ([]ToScheduler, error) {
	var messages []ToScheduler
	rd := &reader{
		rest: frame,
	}
	for len(rd.rest) > 0 && rd.err == nil {
		messages = append(messages, rd.toScheduler())
	}
	if rd.err != nil {
		return nil, rd.err
	}
	return messages, nil
}

// reader reads the fields of a frame. After an error all fields are zero.
type reader struct {
	rest []byte
	err  error
}

func (rd *reader) toKeeper() ToKeeper {
	switch kind := messageType(rd.byte()); kind {
	case typePermit:
		return Permit{
			Number: rd.uint(),
		}
	case typeAttend:
		return Attend{
			Handle:  rd.handle(),
			Worker:  modeller.WorkerID(rd.string()),
			Address: rd.address(),
		}
	case typeLeave:
		return Leave{
			Handle: rd.handle(),
		}
	case typePayload:
		return Payload{
			Job:  rd.jobID(),
			Text: rd.string(),
		}
	case typeForget:
		return Forget{
			Job: rd.jobID(),
		}
	case typePoll:
		return Poll{
			Handle:           rd.handle(),
			Number:           rd.uint(),
			IsFull:           rd.bool(),
			LeaseEnd:         rd.duration(),
			AcknowledgedEnds: rd.int(),
			ProcessedEnds:    rd.int(),
			Wait:             rd.duration(),
		}
	case typeStart:
		return Start{
			Handle:         rd.handle(),
			Task:           rd.task(),
			Attempt:        int(rd.int()),
			Checkpoint:     rd.string(),
			Ticket:         rd.string(),
			LeaseEnd:       rd.duration(),
			ReportAge:      rd.duration(),
			FreeMilliCores: int(rd.int()),
		}
	case typeStop:
		return Stop{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.int()),
		}
	case typePace:
		return Pace{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.int()),
			Percent: int(rd.int()),
		}
	default:
		rd.fail("unknown type %d of a message to a keeper", kind)
		return nil
	}
}

func (rd *reader) toScheduler() ToScheduler {
	switch kind := messageType(rd.byte()); kind {
	case typeAsk:
		return Ask{
			Number: rd.uint(),
		}
	case typeReport:
		return rd.report()
	case typePollFailure:
		return PollFailure{
			Handle:  rd.handle(),
			Number:  rd.uint(),
			Outcome: rd.outcome(),
		}
	case typeStartAnswer:
		return StartAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.int()),
			Outcome: rd.outcome(),
			Clock:   rd.duration(),
		}
	case typeStopAnswer:
		return StopAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.int()),
			Outcome: rd.outcome(),
		}
	case typePaceAnswer:
		return PaceAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.int()),
			Percent: int(rd.int()),
			Outcome: rd.outcome(),
		}
	default:
		rd.fail("unknown type %d of a message to the scheduler", kind)
		return nil
	}
}

func (rd *reader) report() Report {
	rp := Report{
		Handle:      rd.handle(),
		Number:      rd.uint(),
		StartedAtMS: rd.int(),
		Clock:       rd.duration(),
	}
	for range rd.length() {
		rp.Changes = append(rp.Changes, rd.runChange())
	}
	for range rd.length() {
		rp.Added = append(rp.Added, modeller.Run{
			Task:       rd.task(),
			Attempt:    int(rd.int()),
			Checkpoint: rd.string(),
			Progress:   int(rd.int()),
			Load:       int(rd.int()),
		})
	}
	for range rd.length() {
		rp.Ended = append(rp.Ended, modeller.End{
			Number:     rd.int(),
			Task:       rd.task(),
			Attempt:    int(rd.int()),
			Kind:       modeller.EndKind(rd.string()),
			Checkpoint: rd.string(),
		})
	}
	rp.HasMoreEnds = rd.bool()
	return rp
}

func (rd *reader) runChange() RunChange {
	bits := rd.byte()
	rc := RunChange{
		IsGone: bits&changeGone != 0,
	}
	if bits&changeProgress != 0 {
		progress := int(rd.int())
		rc.Progress = &progress
	}
	if bits&changeLoad != 0 {
		load := int(rd.int())
		rc.Load = &load
	}
	if bits&changeCheckpoint != 0 {
		checkpoint := rd.string()
		rc.Checkpoint = &checkpoint
	}
	return rc
}

func (rd *reader) fail(format string, args ...any) {
	if rd.err == nil {
		rd.err = errors.Errorf(format, args...)
	}
	rd.rest = nil
}

func (rd *reader) byte() byte {
	if len(rd.rest) == 0 {
		rd.fail("message is truncated")
		return 0
	}
	value := rd.rest[0]
	rd.rest = rd.rest[1:]
	return value
}

func (rd *reader) bytes(length int) []byte {
	if length > len(rd.rest) {
		rd.fail("message is truncated: %d of %d bytes", len(rd.rest), length)
		return nil
	}
	value := rd.rest[:length]
	rd.rest = rd.rest[length:]
	return value
}

func (rd *reader) uint() uint64 {
	number, length := binary.Uvarint(rd.rest)
	if length <= 0 {
		rd.fail("invalid number")
		return 0
	}
	rd.rest = rd.rest[length:]
	return number
}

func (rd *reader) int() int64 {
	number, length := binary.Varint(rd.rest)
	if length <= 0 {
		rd.fail("invalid number")
		return 0
	}
	rd.rest = rd.rest[length:]
	return number
}

// index reads a number that fits an index of a list.
func (rd *reader) index() int {
	number := rd.uint()
	if number > maxListLength {
		rd.fail("index %d is out of range", number)
		return 0
	}
	return int(number)
}

// length reads the length of a list. Each element has at least one byte.
func (rd *reader) length() int {
	length := rd.index()
	if length > len(rd.rest) {
		rd.fail("list of %d elements in %d bytes", length, len(rd.rest))
		return 0
	}
	return length
}

func (rd *reader) handle() Handle { return Handle(rd.uint()) }

func (rd *reader) duration() time.Duration {
	const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)
	milliseconds := rd.int()
	if milliseconds > maxMilliseconds || milliseconds < -maxMilliseconds {
		rd.fail("duration of %d ms is out of range", milliseconds)
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func (rd *reader) bool() bool { return rd.byte() != 0 }

func (rd *reader) outcome() allocator.Outcome { return allocator.Outcome(rd.byte()) }

func (rd *reader) string() string {
	length := rd.uint()
	if length > maxStringBytes {
		rd.fail("string of %d bytes is longer than %d", length, maxStringBytes)
		return ""
	}
	return string(rd.bytes(int(length)))
}

func (rd *reader) address() netip.AddrPort {
	text := rd.string()
	if rd.err != nil {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		rd.fail("invalid address %q", text)
	}
	return address
}

func (rd *reader) jobID() modeller.JobID {
	switch form := rd.byte(); form {
	case jobIDHex:
		return modeller.JobID(hex.EncodeToString(rd.bytes(jobIDBytes)))
	case jobIDText:
		return modeller.JobID(rd.string())
	default:
		rd.fail("unknown form %d of a job's ID", form)
		return ""
	}
}

func (rd *reader) task() modeller.TaskName {
	return modeller.TaskName{
		Job:        rd.jobID(),
		Occurrence: rd.index(),
		Step:       rd.index(),
		Index:      rd.index(),
	}
}
