package upstream

import (
	"fmt"
	"io"
)

// MaxAnswerHeadBytes bounds what precedes the body of an answer: its status line and
// headers, and the interim answers before it.
const MaxAnswerHeadBytes = 256 << 10

// HeadTooLargeError reports an answer whose head is larger than MaxAnswerHeadBytes.
type HeadTooLargeError struct{ Limit int }

// Error implements the error interface.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of the answer is above the limit of %d bytes", e.Limit)
}

// headLimiter bounds what is read from a connection while the head of an answer is read:
// the HTTP library bounds neither lines nor their number.
type headLimiter struct {
	conn io.Reader
	// limited is set while a head is read, of which left bytes may follow.
	limited bool
	left    int
}

// beginHead bounds the bytes that may be read until endHead.
func (l *headLimiter) beginHead() { l.limited, l.left = true, MaxAnswerHeadBytes }

func (l *headLimiter) endHead() { l.limited = false }

// Read implements io.Reader. Above the limit it returns a *HeadTooLargeError.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(b)
	}
	if l.left == 0 {
		return 0, &HeadTooLargeError{Limit: MaxAnswerHeadBytes}
	}
	n, err := l.conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
