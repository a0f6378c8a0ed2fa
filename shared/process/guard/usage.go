package guard

// usage is the memory that connections have reserved.
type usage struct {
	// bytes is the number of bytes reserved, and large the part of it that isn't for
	// small bodies.
	bytes, large int64
	// chunked is the number of bodies of unknown length.
	chunked int
}

func (us *usage) add(other usage) {
	us.bytes += other.bytes
	us.large += other.large
	us.chunked += other.chunked
}

func (us *usage) subtract(other usage) {
	us.bytes -= other.bytes
	us.large -= other.large
	us.chunked -= other.chunked
}

// newUsage returns the usage of a share of the memory.
func newUsage(share int64, isChunked bool) usage {
	us := usage{
		bytes: share,
	}
	if share > smallBodyBytes {
		us.large = share
	}
	if isChunked {
		us.chunked = 1
	}
	return us
}

// usage returns what a connection has reserved.
func (cn *Connection) usage() usage {
	us := cn.header
	us.add(cn.body)
	return us
}
