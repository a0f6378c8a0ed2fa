package conductor

import (
	"go.uber.org/zap/zapcore"

	"coltsfootwick.example/shared/jobs/allocator"
)

// teamField is the log field of what a team has running and waiting.
type teamField allocator.TeamLoad

func teamFields(loads []allocator.TeamLoad) []teamField {
	fields := make([]teamField, 0, len(loads))
	for _, load := range loads {
		fields = append(fields, teamField(load))
	}
	return fields
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It leaves out the resources that
// aren't limited.
func (tf teamField) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("team", tf.Team)
	addLimited(enc, "MilliCores", tf.Used.MilliCores, tf.Cap.MilliCores)
	addLimited(enc, "MemoryMB", tf.Used.MemoryMB, tf.Cap.MemoryMB)
	addLimited(enc, "Accelerators", tf.Used.Accelerators, tf.Cap.Accelerators)
	enc.AddInt("heldJobs", tf.HeldJobs)
	return nil
}

func addLimited(enc zapcore.ObjectEncoder, resource string, used, limit int) {
	if limit > 0 {
		enc.AddInt("used"+resource, used)
		enc.AddInt("cap"+resource, limit)
	}
}
