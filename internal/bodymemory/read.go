package bodymemory

import (
	"cmp"
	"io"

	"github.com/pkg/errors"
)

const (
	// growthFactor is the factor by which the memory for a body grows as it arrives, so that a
	// caller must send a sixteenth of what it makes the instance hold.
	growthFactor = 16
	// wholeBytes is the stated length up to which all memory is reserved at once.
	wholeBytes = 64 << 10
	// minChunkBytes is the smallest step in bytes.
	minChunkBytes = 4096
	// unknownLimit is the largest body of unknown length if there is no limit.
	unknownLimit int64 = 64 << 20
)

// ReceiveBody reads a body that a caller sends, of the stated length or, if that is negative, of up
// to limit bytes. The memory is reserved as the body arrives. Without memory it returns a
// *NoMemoryError, also if the body had to give way to others, in which case stop was called.
func (r *Reservation) ReceiveBody(body io.Reader, length, limit int64, stop func()) ([]byte, error) {
	if r == nil {
		return io.ReadAll(body)
	}
	r.startReceiving(stop)
	read, err := r.receive(body, length, limit)
	if !r.doneReceiving() {
		return nil, &NoMemoryError{Kind: r.kind, Limit: r.memory.limit}
	}
	return read, err
}

func (r *Reservation) receive(body io.Reader, length, limit int64) ([]byte, error) {
	most := length
	if length < 0 {
		most = cmp.Or(max(limit, 0), unknownLimit) + 1 // the end of the body is read into the last byte
	}
	var read []byte
	for int64(len(read)) < most || length < 0 {
		if len(read) == cap(read) {
			larger, err := r.grow(read, most)
			if err != nil {
				return nil, err
			}
			read = larger
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case errors.Is(err, io.EOF) && length >= 0 && int64(len(read)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return r.trim(read)
		case err != nil:
			return nil, err
		case n > 0 && !r.received():
			return nil, &NoMemoryError{Kind: r.kind, Limit: r.memory.limit}
		}
	}
	return read, nil
}

// grow returns a copy of what was read with more room. While it is copied both are reserved.
func (r *Reservation) grow(read []byte, most int64) ([]byte, error) {
	size := capacity(int64(len(read))+1, most)
	if err := r.SetSize(int64(len(read)) + size); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), read...)
	return larger, r.SetSize(size)
}

// capacity returns the smallest of the sizes most, most/16, most/256 and so on that has room for n
// bytes, but at least minChunkBytes, or more than n if that is above most.
func capacity(n, most int64) int64 {
	if n > most {
		return n + n/2
	}
	size := most
	for size > wholeBytes && size/growthFactor >= max(n, minChunkBytes) {
		size /= growthFactor
	}
	return size
}

// trim returns the complete body in no more memory than it needs, unless little would be gained.
func (r *Reservation) trim(read []byte) ([]byte, error) {
	if cap(read)-len(read) >= minChunkBytes {
		read = append(make([]byte, 0, len(read)), read...)
	}
	return read, r.SetSize(int64(cap(read)))
}

// ReadBody reads a body that an endpoint sends and reserves the memory that it occupies. length is
// the stated length, or negative if it is unknown; then memory is reserved as the body arrives.
// Without memory it returns a *NoMemoryError.
func (r *Reservation) ReadBody(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return r.readUnknownLength(body)
	}
	if err := r.SetSize(length); err != nil {
		return nil, err
	}
	read := make([]byte, length)
	_, err := io.ReadFull(body, read)
	return read, err
}

func (r *Reservation) readUnknownLength(body io.Reader) ([]byte, error) {
	var read []byte
	for {
		if len(read) == cap(read) {
			size := int64(cap(read) + max(minChunkBytes, cap(read)/2))
			if err := r.SetSize(max(size, r.Size())); err != nil {
				return nil, err
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, r.SetSize(int64(cap(read)))
		}
		if err != nil {
			return nil, err
		}
	}
}
