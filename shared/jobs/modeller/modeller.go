// Package modeller defines the types of the job subsystem: jobs with their
// steps and tasks, the workers that run them, queues, pools, VMs and waves. The
// types have no struct tags; codec.go converts them to and from the stored
// records.
package modeller
