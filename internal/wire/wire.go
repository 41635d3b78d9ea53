// Package wire is the framing between the system's own processes: TCP, a
// four-byte length, a version byte and a msgpack envelope. Frames are bounded,
// every read and write has a deadline, and a malformed frame is a typed error
// that costs one connection.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Version is the protocol version of every frame.
const Version = 1

// DefaultMaxFrame bounds a frame in bytes: the largest answer of an upstream,
// its headers and the envelope.
const DefaultMaxFrame = 8<<20 + 256<<10

// firstReadBytes bounds the buffer that a frame gets before it has arrived.
const firstReadBytes = 16 << 10

// headerBytes is the length field and the version byte.
const headerBytes = 5

// Envelope is one message.
type Envelope struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	// Type names the message.
	Type string
	// ID pairs a reply with its request. It is 0 for messages without one.
	ID uint64
	// Body is the message in msgpack.
	Body msgpack.RawMessage
}

// FrameTooLargeError reports a frame above the bound.
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

// MalformedError reports a frame or body that msgpack cannot read.
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

// Encode returns an envelope with body in msgpack.
func Encode(messageType string, id uint64, body any) (Envelope, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return Envelope{}, &MalformedError{Type: messageType, Cause: err}
	}
	return Envelope{Type: messageType, ID: id, Body: raw}, nil
}

// Decode reads the envelope's body into target. It returns a *MalformedError.
func (e Envelope) Decode(target any) error {
	if err := msgpack.Unmarshal(e.Body, target); err != nil {
		return &MalformedError{Type: e.Type, Cause: err}
	}
	return nil
}

// Conn sends and receives envelopes. Send may be called from several
// goroutines, Receive from one.
type Conn struct {
	conn     net.Conn
	maxFrame uint32
	write    sync.Mutex
}

// NewConn frames conn with the default frame bound.
func NewConn(conn net.Conn) *Conn {
	return &Conn{conn: conn, maxFrame: DefaultMaxFrame}
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// RemoteAddress returns the peer's address.
func (c *Conn) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// Send writes one envelope by the deadline. A *FrameTooLargeError or a
// *MalformedError leaves the connection as it was; after any other error it
// must be closed, since a frame may be half written.
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
	c.write.Lock()
	defer c.write.Unlock()
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err = c.conn.Write(frame)
	return err
}

// Receive reads one envelope by the deadline.
func (c *Conn) Receive(deadline time.Time) (Envelope, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return Envelope{}, err
	}
	return ReadEnvelope(c.conn, c.maxFrame)
}

// ReadEnvelope reads one frame of at most limit bytes.
func ReadEnvelope(r io.Reader, limit uint32) (Envelope, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Envelope{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return Envelope{}, &FrameTooLargeError{Size: size, Limit: limit}
	}
	if version := header[headerBytes-1]; version != Version {
		return Envelope{}, &VersionError{Found: version}
	}
	// The buffer grows with what arrives, not with what a header claims.
	var body bytes.Buffer
	body.Grow(int(min(size, firstReadBytes)))
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Envelope{}, err
	}
	var envelope Envelope
	if err := msgpack.Unmarshal(body.Bytes(), &envelope); err != nil {
		return Envelope{}, &MalformedError{Type: "envelope", Cause: err}
	}
	return envelope, nil
}
