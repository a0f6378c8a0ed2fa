package dispatcher

// WithDrainingCallback sets a function that is called with the VM of each target
// that refuses a request because it is draining. It must not block.
func WithDrainingCallback(onDraining func(vm string)) Option {
	return func(dr *Dispatcher) { dr.onDraining = onDraining }
}
