package allocator

// effort counts the work of placing tasks, so that tests can bound it without
// measuring time.
type effort struct {
	// jobs counts the jobs that were ranked or considered for placement, and
	// workers the workers that were considered for a task.
	jobs, workers int
}
