package bodymemory

import (
	"io"

	"github.com/pkg/errors"
)

// minChunkBytes is the smallest step in bytes in which a body of unknown length reserves
// memory.
const minChunkBytes = 4096

// ReadBody reads a body and reserves the memory that it occupies. length is the stated
// length, or negative if it is unknown; then memory is reserved as the body arrives. Without
// memory it returns a *NoMemoryError.
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
