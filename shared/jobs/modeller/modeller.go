// Package modeller holds the types of the job subsystem: jobs with their steps
// and tasks, the workers that run them, queues, pools, VMs and waves. The types
// carry no tags; codec.go maps the durable records by hand.
package modeller
