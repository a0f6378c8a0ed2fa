package distributor

import (
	"encoding/hex"
	"net/netip"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/packer"
)

// The format: a frame is a sequence of messages, and a message is a byte with its
// type and its fields in a fixed order, in the format of package packer.

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
	typeFetch
	typeBacklog
)

const (
	typeAsk messageType = iota + 64
	typeReport
	typePollFailure
	typeStartAnswer
	typeStopAnswer
	typePaceAnswer
	typeMissing
)

// jobIDBytes is the length of an ID in hexadecimal digits once decoded.
const jobIDBytes = 8

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
		frame = packer.AppendUint(append(frame, byte(typePermit)), msg.Number)
	case Backlog:
		frame = appendBacklog(append(frame, byte(typeBacklog)), msg)
	case Attend:
		frame = packer.AppendUint(append(frame, byte(typeAttend)), uint64(msg.Handle))
		frame = packer.AppendString(frame, string(msg.Worker))
		frame = appendAddress(frame, msg.Address)
		frame = packer.AppendInt(frame, msg.StartedAtMS)
		frame = packer.AppendUint(frame, uint64(max(msg.Generation, 0)))
	case Leave:
		frame = packer.AppendUint(append(frame, byte(typeLeave)), uint64(msg.Handle))
	case Payload:
		frame = appendJobID(append(frame, byte(typePayload)), msg.Job)
		frame = packer.AppendString(frame, msg.Text)
	case Fetch:
		frame = appendJobID(append(frame, byte(typeFetch)), msg.Job)
		frame = packer.AppendString(frame, msg.Queue)
	case Forget:
		frame = appendJobID(append(frame, byte(typeForget)), msg.Job)
	case Poll:
		frame = packer.AppendUint(append(frame, byte(typePoll)), uint64(msg.Handle))
		frame = packer.AppendUint(frame, msg.Number)
		frame = packer.AppendBool(frame, msg.IsFull)
		frame = packer.AppendDuration(frame, msg.LeaseEnd)
		frame = packer.AppendInt(frame, msg.AcknowledgedEnds)
		frame = packer.AppendInt(frame, msg.ProcessedEnds)
		frame = packer.AppendDuration(frame, msg.Wait)
	case Start:
		frame = packer.AppendUint(append(frame, byte(typeStart)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = packer.AppendString(frame, msg.Checkpoint)
		frame = packer.AppendString(frame, msg.Ticket)
		frame = packer.AppendDuration(frame, msg.LeaseEnd)
		frame = packer.AppendDuration(frame, msg.ReportAge)
		frame = packer.AppendInt(frame, int64(msg.FreeMilliCores))
	case Stop:
		frame = packer.AppendUint(append(frame, byte(typeStop)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
	case Pace:
		frame = packer.AppendUint(append(frame, byte(typePace)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = packer.AppendInt(frame, int64(msg.Percent))
	}
	return frame
}

// AppendToScheduler appends the encoded form of a message to a frame.
func AppendToScheduler(frame []byte, msg ToScheduler) []byte {
	switch msg := msg.(type) {
	case Ask:
		frame = packer.AppendUint(append(frame, byte(typeAsk)), msg.Number)
	case Missing:
		frame = appendJobID(append(frame, byte(typeMissing)), msg.Job)
	case Report:
		frame = appendReport(append(frame, byte(typeReport)), msg)
	case PollFailure:
		frame = packer.AppendUint(append(frame, byte(typePollFailure)), uint64(msg.Handle))
		frame = packer.AppendUint(frame, msg.Number)
		frame = append(frame, byte(msg.Outcome))
	case StartAnswer:
		frame = packer.AppendUint(append(frame, byte(typeStartAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = append(frame, byte(msg.Outcome))
		frame = packer.AppendDuration(frame, msg.Clock)
	case StopAnswer:
		frame = packer.AppendUint(append(frame, byte(typeStopAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = append(frame, byte(msg.Outcome))
	case PaceAnswer:
		frame = packer.AppendUint(append(frame, byte(typePaceAnswer)), uint64(msg.Handle))
		frame = appendRun(frame, msg.Task, msg.Attempt)
		frame = packer.AppendInt(frame, int64(msg.Percent))
		frame = append(frame, byte(msg.Outcome))
	}
	return frame
}

func appendReport(frame []byte, msg Report) []byte {
	frame = packer.AppendUint(frame, uint64(msg.Handle))
	frame = packer.AppendUint(frame, msg.Number)
	frame = packer.AppendInt(frame, msg.StartedAtMS)
	frame = packer.AppendDuration(frame, msg.Clock)
	frame = packer.AppendUint(frame, uint64(len(msg.Changes)))
	for _, rc := range msg.Changes {
		frame = appendRunChange(frame, rc)
	}
	frame = packer.AppendUint(frame, uint64(len(msg.Added)))
	for _, rn := range msg.Added {
		frame = appendRun(frame, rn.Task, rn.Attempt)
		frame = packer.AppendString(frame, rn.Checkpoint)
		frame = packer.AppendInt(frame, int64(rn.Progress))
		frame = packer.AppendInt(frame, int64(rn.Load))
	}
	frame = packer.AppendUint(frame, uint64(len(msg.Ended)))
	for _, end := range msg.Ended {
		frame = packer.AppendInt(frame, end.Number)
		frame = appendRun(frame, end.Task, end.Attempt)
		frame = packer.AppendString(frame, string(end.Kind))
		frame = packer.AppendString(frame, end.Checkpoint)
	}
	return packer.AppendBool(frame, msg.HasMoreEnds)
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
		frame = packer.AppendInt(frame, int64(*rc.Progress))
	}
	if rc.Load != nil {
		frame = packer.AppendInt(frame, int64(*rc.Load))
	}
	if rc.Checkpoint != nil {
		frame = packer.AppendString(frame, *rc.Checkpoint)
	}
	return frame
}

// appendAddress appends an address. An invalid one is sent like any other: it
// concerns only the worker.
func appendAddress(frame []byte, address netip.AddrPort) []byte {
	data, err := address.MarshalBinary()
	if err != nil {
		data = nil
	}
	return packer.AppendString(frame, string(data))
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
	return packer.AppendString(append(frame, jobIDText), string(id))
}

func appendRun(frame []byte, task modeller.TaskName, attempt int) []byte {
	frame = appendJobID(frame, task.Job)
	frame = packer.AppendUint(frame, uint64(task.Occurrence))
	frame = packer.AppendUint(frame, uint64(task.Step))
	frame = packer.AppendUint(frame, uint64(task.Index))
	return packer.AppendInt(frame, int64(attempt))
}

// DecodeToKeeper returns the messages of a frame from the scheduler.
func DecodeToKeeper(frame []byte) ([]ToKeeper, error) {
	var messages []ToKeeper
	rd := &reader{
		Reader: packer.NewReader(frame),
	}
	for rd.HasMore() {
		messages = append(messages, rd.toKeeper())
	}
	if err := rd.Err(); err != nil {
		return nil, err
	}
	return messages, nil
}

// DecodeToScheduler returns the messages of a frame from a keeper.
func DecodeToScheduler(frame []byte) ([]ToScheduler, error) {
	var messages []ToScheduler
	rd := &reader{
		Reader: packer.NewReader(frame),
	}
	for rd.HasMore() {
		messages = append(messages, rd.toScheduler())
	}
	if err := rd.Err(); err != nil {
		return nil, err
	}
	return messages, nil
}

// reader reads the messages of a frame.
type reader struct {
	*packer.Reader
}

func (rd *reader) toKeeper() ToKeeper {
	switch kind := messageType(rd.Byte()); kind {
	case typePermit:
		return Permit{
			Number: rd.Uint(),
		}
	case typeBacklog:
		return rd.backlog()
	case typeAttend:
		return Attend{
			Handle:      rd.handle(),
			Worker:      modeller.WorkerID(rd.String()),
			Address:     rd.address(),
			StartedAtMS: rd.Int(),
			Generation:  rd.Index(),
		}
	case typeLeave:
		return Leave{
			Handle: rd.handle(),
		}
	case typePayload:
		return Payload{
			Job:  rd.jobID(),
			Text: rd.String(),
		}
	case typeFetch:
		return Fetch{
			Job:   rd.jobID(),
			Queue: rd.String(),
		}
	case typeForget:
		return Forget{
			Job: rd.jobID(),
		}
	case typePoll:
		return Poll{
			Handle:           rd.handle(),
			Number:           rd.Uint(),
			IsFull:           rd.Bool(),
			LeaseEnd:         rd.Duration(),
			AcknowledgedEnds: rd.Int(),
			ProcessedEnds:    rd.Int(),
			Wait:             rd.Duration(),
		}
	case typeStart:
		return Start{
			Handle:         rd.handle(),
			Task:           rd.task(),
			Attempt:        int(rd.Int()),
			Checkpoint:     rd.String(),
			Ticket:         rd.String(),
			LeaseEnd:       rd.Duration(),
			ReportAge:      rd.Duration(),
			FreeMilliCores: int(rd.Int()),
		}
	case typeStop:
		return Stop{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.Int()),
		}
	case typePace:
		return Pace{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.Int()),
			Percent: int(rd.Int()),
		}
	default:
		rd.Fail("unknown type %d of a message to a keeper", kind)
		return nil
	}
}

func (rd *reader) toScheduler() ToScheduler {
	switch kind := messageType(rd.Byte()); kind {
	case typeAsk:
		return Ask{
			Number: rd.Uint(),
		}
	case typeMissing:
		return Missing{
			Job: rd.jobID(),
		}
	case typeReport:
		return rd.report()
	case typePollFailure:
		return PollFailure{
			Handle:  rd.handle(),
			Number:  rd.Uint(),
			Outcome: rd.outcome(),
		}
	case typeStartAnswer:
		return StartAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.Int()),
			Outcome: rd.outcome(),
			Clock:   rd.Duration(),
		}
	case typeStopAnswer:
		return StopAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.Int()),
			Outcome: rd.outcome(),
		}
	case typePaceAnswer:
		return PaceAnswer{
			Handle:  rd.handle(),
			Task:    rd.task(),
			Attempt: int(rd.Int()),
			Percent: int(rd.Int()),
			Outcome: rd.outcome(),
		}
	default:
		rd.Fail("unknown type %d of a message to the scheduler", kind)
		return nil
	}
}

func (rd *reader) report() Report {
	rp := Report{
		Handle:      rd.handle(),
		Number:      rd.Uint(),
		StartedAtMS: rd.Int(),
		Clock:       rd.Duration(),
	}
	for range rd.Length() {
		rp.Changes = append(rp.Changes, rd.runChange())
	}
	for range rd.Length() {
		rp.Added = append(rp.Added, modeller.Run{
			Task:       rd.task(),
			Attempt:    int(rd.Int()),
			Checkpoint: rd.String(),
			Progress:   int(rd.Int()),
			Load:       int(rd.Int()),
		})
	}
	for range rd.Length() {
		rp.Ended = append(rp.Ended, modeller.End{
			Number:     rd.Int(),
			Task:       rd.task(),
			Attempt:    int(rd.Int()),
			Kind:       modeller.EndKind(rd.String()),
			Checkpoint: rd.String(),
		})
	}
	rp.HasMoreEnds = rd.Bool()
	return rp
}

func (rd *reader) runChange() RunChange {
	bits := rd.Byte()
	rc := RunChange{
		IsGone: bits&changeGone != 0,
	}
	if bits&changeProgress != 0 {
		progress := int(rd.Int())
		rc.Progress = &progress
	}
	if bits&changeLoad != 0 {
		load := int(rd.Int())
		rc.Load = &load
	}
	if bits&changeCheckpoint != 0 {
		checkpoint := rd.String()
		rc.Checkpoint = &checkpoint
	}
	return rc
}

func (rd *reader) handle() Handle { return Handle(rd.Uint()) }

func (rd *reader) outcome() allocator.Outcome { return allocator.Outcome(rd.Byte()) }

func (rd *reader) address() netip.AddrPort {
	data := rd.String()
	var address netip.AddrPort
	if rd.Err() == nil && data != "" {
		if err := address.UnmarshalBinary([]byte(data)); err != nil {
			rd.Fail("invalid address %x: %s", data, err)
		}
	}
	return address
}

func (rd *reader) jobID() modeller.JobID {
	switch form := rd.Byte(); form {
	case jobIDHex:
		return modeller.JobID(hex.EncodeToString(rd.Bytes(jobIDBytes)))
	case jobIDText:
		return modeller.JobID(rd.String())
	default:
		rd.Fail("unknown form %d of a job's ID", form)
		return ""
	}
}

func (rd *reader) task() modeller.TaskName {
	return modeller.TaskName{
		Job:        rd.jobID(),
		Occurrence: int(rd.Uint()),
		Step:       rd.Index(),
		Index:      rd.Index(),
	}
}
