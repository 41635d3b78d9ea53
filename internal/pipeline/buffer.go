package pipeline

// buffer holds the bytes of a connection that were read but not delivered to the server.
type buffer struct {
	memory Memory
	// reserved is the size for which memory is reserved.
	reserved    int64
	data        []byte
	first, last int
}

// bytes returns the bytes that the buffer holds.
func (b *buffer) bytes() []byte { return b.data[b.first:b.last] }

func (b *buffer) len() int { return b.last - b.first }

// discard removes n bytes from the front.
func (b *buffer) discard(n int) {
	b.first += n
	if b.first < b.last {
		return
	}
	b.first, b.last = 0, 0
	if len(b.data) > maxIdleBufferBytes {
		b.drop()
	}
}

// drop removes all bytes and releases the memory.
func (b *buffer) drop() {
	b.data, b.first, b.last = nil, 0, 0
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.reserved = 0
	}
}

// append adds bytes that were read already, even if no memory can be reserved for them.
func (b *buffer) append(data []byte) {
	space := b.space(len(data), b.len()+len(data))
	if space == nil {
		space = b.grow(b.len() + len(data))
	}
	b.last += copy(space, data)
}

// extend adds n bytes that were written to the start of what space returned.
func (b *buffer) extend(n int) { b.last += n }

// space returns room behind the bytes for at least n further ones, or nil if that exceeds
// limit or no memory can be reserved. Together with the bytes it is not larger than limit.
func (b *buffer) space(n, limit int) []byte {
	if b.len()+n > limit {
		return nil
	}
	size := len(b.data)
	if b.len()+n > size {
		size = min(max(2*size, b.len()+n, minBufferBytes), max(limit, minBufferBytes))
	}
	if more := int64(size) - b.reserved; b.memory != nil && more > 0 {
		if b.memory.Reserve(more) != nil {
			return nil
		}
		b.reserved += more
	}
	if size > len(b.data) {
		return limited(b.grow(size), limit-b.len())
	}
	if b.last+n > len(b.data) {
		b.last = copy(b.data, b.bytes())
		b.first = 0
	}
	return limited(b.data[b.last:], limit-b.len())
}

// grow moves the bytes to a larger array and returns the room behind them.
func (b *buffer) grow(size int) []byte {
	larger := make([]byte, size)
	b.last = copy(larger, b.bytes())
	b.data, b.first = larger, 0
	return larger[b.last:]
}

func limited(data []byte, n int) []byte { return data[:min(len(data), n)] }
