// Package wire implements the framing of messages between the system's own
// processes. A frame on a TCP connection is a four-byte length, a version byte
// and a msgpack envelope. Frames have a maximum size and every read and write has
// a deadline. A malformed frame is reported as a typed error; only the connection
// that it arrived on must be closed.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Version is the protocol version that every frame carries.
const Version = 1

// DefaultMaxFrameBytes is the default limit of an envelope's size. It has room for the
// largest body of an upstream's answer (8 MiB) and, in another 256 KiB, for its
// headers and the envelope.
const DefaultMaxFrameBytes = 8<<20 + 256<<10

// initialBufferBytes bounds the buffer that is allocated before any byte of an
// envelope has arrived.
const initialBufferBytes = 16 << 10

// growthFactor is the factor by which the buffer for an envelope grows.
const growthFactor = 4

// headerBytes is the size of the length field and the version byte.
const headerBytes = 5

// Envelope is one message.
type Envelope struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	// Type names the message.
	Type string
	// ID matches a reply to its request. It is 0 for messages without a reply.
	ID uint64
	// Body is the message's content in msgpack.
	Body msgpack.RawMessage
}

// FrameTooLargeError reports a frame whose envelope is larger than the limit.
type FrameTooLargeError struct {
	Size  uint32
	Limit uint32
}

// Error implements the error interface.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d bytes", e.Size, e.Limit)
}

// VersionError reports a frame of another protocol version.
type VersionError struct{ Found uint8 }

// Error implements the error interface.
func (e *VersionError) Error() string {
	return fmt.Sprintf("frame has protocol version %d, not %d", e.Found, Version)
}

// MalformedError reports an envelope or body that msgpack cannot encode or decode.
type MalformedError struct {
	Type  string
	Cause error
}

// Error implements the error interface.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("message %q is malformed: %v", e.Type, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Encode returns an envelope with body in msgpack. On failure it returns a
// *MalformedError.
func Encode(messageType string, id uint64, body any) (Envelope, error) {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return Envelope{}, &MalformedError{Type: messageType, Cause: err}
	}
	return Envelope{Type: messageType, ID: id, Body: encoded}, nil
}

// Decode decodes the envelope's body into target. On failure it returns a
// *MalformedError.
func (e Envelope) Decode(target any) error {
	if err := msgpack.Unmarshal(e.Body, target); err != nil {
		return &MalformedError{Type: e.Type, Cause: err}
	}
	return nil
}

// Conn sends and receives envelopes on a connection. Send may be called from
// several goroutines at once, Receive from only one.
type Conn struct {
	conn     net.Conn
	maxFrame uint32
	writeMu  sync.Mutex
}

// NewConn returns a Conn for conn with the default frame limit.
func NewConn(conn net.Conn) *Conn {
	return &Conn{conn: conn, maxFrame: DefaultMaxFrameBytes}
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// RemoteAddress returns the peer's address.
func (c *Conn) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// Send writes one envelope by the deadline. After a *FrameTooLargeError or a
// *MalformedError nothing was written and the connection stays usable; after any
// other error it must be closed, since a frame may be partially written.
func (c *Conn) Send(envelope Envelope, deadline time.Time) error {
	body, err := msgpack.Marshal(&envelope)
	if err != nil {
		return &MalformedError{Type: envelope.Type, Cause: err}
	}
	if uint64(len(body)) > uint64(c.maxFrame) {
		return &FrameTooLargeError{Size: uint32(len(body)), Limit: c.maxFrame}
	}
	frame := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[headerBytes-1] = Version
	copy(frame[headerBytes:], body)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err = c.conn.Write(frame)
	return err
}

// Receive reads one envelope by the deadline.
func (c *Conn) Receive(deadline time.Time) (Envelope, error) { return c.ReceiveHeld(deadline, nil) }

// Hold is called with the memory that a message needs so far, before it is used. If it returns an
// error, the message is not read further.
type Hold func(bytes int64) error

// ReceiveHeld reads one envelope by the deadline. hold may be nil.
func (c *Conn) ReceiveHeld(deadline time.Time, hold Hold) (Envelope, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return Envelope{}, err
	}
	return readEnvelope(c.conn, c.maxFrame, hold)
}

// ReadEnvelope reads one frame whose envelope has at most maxFrame bytes.
func ReadEnvelope(r io.Reader, maxFrame uint32) (Envelope, error) {
	return readEnvelope(r, maxFrame, nil)
}

func readEnvelope(r io.Reader, maxFrame uint32, hold Hold) (Envelope, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Envelope{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return Envelope{}, &FrameTooLargeError{Size: size, Limit: maxFrame}
	}
	if version := header[headerBytes-1]; version != Version {
		return Envelope{}, &VersionError{Found: version}
	}
	if hold == nil {
		hold = func(int64) error { return nil }
	}
	body, err := readBody(r, int(size), hold)
	if err != nil {
		return Envelope{}, err
	}
	if err := hold(DecodedBytes(body)); err != nil {
		return Envelope{}, err
	}
	var envelope Envelope
	if err := msgpack.Unmarshal(body, &envelope); err != nil {
		return Envelope{}, &MalformedError{Type: "envelope", Cause: err}
	}
	return envelope, nil
}

// readBody reads size bytes. The buffer grows with the bytes that arrive and is not allocated by
// the size that the header states, so that a false size cannot exhaust memory.
func readBody(r io.Reader, size int, hold Hold) ([]byte, error) {
	var body []byte
	for len(body) < size {
		room := min(max(growthFactor*cap(body), initialBufferBytes), size)
		if err := hold(int64(len(body) + room)); err != nil {
			return nil, err
		}
		larger := make([]byte, room)
		read := copy(larger, body)
		body = nil
		if _, err := io.ReadFull(r, larger[read:]); errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, io.EOF
		} else if err != nil {
			return nil, err
		}
		body = larger
	}
	return body, nil
}
