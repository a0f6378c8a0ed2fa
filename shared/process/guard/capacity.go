package guard

// Capacity is how much a listener may hold at once.
type Capacity struct {
	// Connections bounds the open connections, and Unfinished those of them whose
	// request isn't complete.
	Connections, Unfinished int
	// BodyBytes bounds the bodies that are read or decoded.
	BodyBytes int64
	// Chunked bounds the bodies of unknown length that are read. The library's reader
	// of chunks takes tens of nanoseconds of processor time per chunk, and chunks may
	// have one byte.
	Chunked int
}

// Capacities are the capacities of a process's listeners.
type Capacities struct {
	// Callers is for callers' requests, Internal for requests from other processes of
	// the system, and Readiness for readiness checks.
	Callers, Internal, Readiness Capacity
}

const (
	// DefaultMemoryMB is the memory of a VM that doesn't tell its own, that of the
	// smallest VMs in use.
	DefaultMemoryMB = 184
	// DefaultMaxFDs is likewise the number of descriptors.
	DefaultMaxFDs = 4096
	// fileFDs is the number of descriptors that are left to files.
	fileFDs = 200
	// connectionBytes is the memory of a connection: 8 KB for the stack of its
	// goroutine, 8 KB for the buffers of net/http, and the header section with the
	// collector's share.
	connectionBytes = 32 << 10
	maxReadiness    = 64
	maxInternal     = 512
	// minInternal is enough for the requests of 40 other managers and their sessions
	// with the holder of the scheduler's duty.
	minInternal = 256
	// unfinishedPart is the part of the connections that may be unfinished, as 1/n.
	unfinishedPart = 8
	minUnfinished  = 8
	// maxUnfinished keeps the memory of a crowd of 10,000 clients near 64 MB.
	maxUnfinished = 96
	minBodyBytes  = 2 << 20
	maxBodyBytes  = 5 << 20
	maxChunked    = 16
)

// The parts of the memory, as 1/n, of callers' connections and bodies and of those on
// other listeners.
const (
	callerPart     = 8
	bodyPart       = 16
	otherPart      = 64
	readinessParts = 16
	internalParts  = 8
	ownParts       = 2
)

// NewCapacities returns the capacities of a process that may use so much memory and so
// many descriptors. Half of the sockets remain for its own connections.
func NewCapacities(memoryMB, maxFDs int) Capacities {
	memory := int64(orDefault(memoryMB, DefaultMemoryMB)) << 20
	sockets := max(orDefault(maxFDs, DefaultMaxFDs)-fileFDs, 0)
	readiness := min(maxReadiness, sockets/readinessParts)
	internal := min(maxInternal, sockets/internalParts, max(minInternal, int(memory/otherPart/connectionBytes)))
	callers := min((sockets-readiness-internal)/ownParts, int(memory/callerPart/connectionBytes))
	return Capacities{
		Callers:   newCapacity(callers, memory/bodyPart),
		Internal:  newCapacity(internal, memory/otherPart),
		Readiness: newCapacity(readiness, 0),
	}
}

// maxOperators is the number of connections to an operators' port. The greatest deployments
// have one balancer, one scraper and some tens of processes that ask for a status.
const maxOperators = 128

// NewOperatorsCapacity returns the capacity of an operators' port, whose requests have no
// bodies.
func NewOperatorsCapacity() Capacity { return newCapacity(maxOperators, 0) }

// requestBytes is the memory of a connection with a request, whose body and response have
// budgets of their own.
const requestBytes = 2 * connectionBytes

// NewBudgetCapacity returns the capacity of a callers' listener for a budget in bytes and so
// many descriptors. BodyBytes is for long header sections and connections of HTTP/2.
func NewBudgetCapacity(budget int64, maxFDs int) Capacity {
	cp := newCapacity(min(int(budget/requestBytes), max(maxFDs-fileFDs, 0)/ownParts), 0)
	cp.BodyBytes = max(cp.BodyBytes, budget)
	return cp
}

func newCapacity(connections int, bodyBytes int64) Capacity {
	return Capacity{
		Connections: max(connections, minUnfinished),
		Unfinished:  min(max(connections/unfinishedPart, minUnfinished), maxUnfinished),
		BodyBytes:   min(max(bodyBytes, minBodyBytes), maxBodyBytes),
		Chunked:     maxChunked,
	}
}
