package pipeline

import (
	"cmp"
	"net"
	"slices"
	"time"
)

// HeadLimits bound the heads of requests while they are read.
type HeadLimits struct {
	// MaxBytes returns the size of a head without separators above which it is refused, or 0
	// for no limit.
	MaxBytes func() int
	// Memory accounts for heads that are larger than most and for requests that are started
	// early. Without memory the largest head that is being read is refused. Nil stands for no
	// limit.
	Memory Memory
	// Refusal returns a complete response that refuses a request whose head was not read to its
	// end, because it is too large or because no memory is left.
	Refusal func(tooLarge bool) []byte
}

const (
	// fieldBytes is the memory of a parsed header field besides its text.
	fieldBytes = 256
	// textFactor is how often the text of a head is held: as it is read, parsed and sent on.
	textFactor = 3
	// freeHeadBytes is the memory of a head up to which it is part of that of its connection.
	freeHeadBytes = 8 << 10
	// headStepBytes is the step in which memory for a head is reserved.
	headStepBytes = 8 << 10
	// earlyBytes is the memory of a request that is started early, besides its head and body.
	earlyBytes = 16 << 10
	// headSlackBytes is how much larger than the limit a head is measured while it is read: the
	// names of fields and the protocol version that a parsed head does not have.
	headSlackBytes = 64
	// separatorBytes is the size of what separates the name and the value of a field and the
	// field from the next one, without the LF.
	separatorBytes = 3
	// unreadBodyBytes is the size of what the server may read behind a request, before the next
	// one, if the end of the request is unknown.
	unreadBodyBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

// errHeadRefused ends the byte stream of a caller whose head was refused. The server takes it for a
// failed read and answers nothing more.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// headMemory returns the memory that a head takes.
func headMemory(bytes, lines int) int64 { return int64(textFactor*bytes + fieldBytes*lines) }

// measured is the size of what a scanner has read.
type measured struct {
	// bytes and lines are those of the head, size its size without separators.
	bytes, lines, size int
}

// addLine adds a line without its LF.
func (m *measured) addLine(length int) {
	m.bytes += length + 1
	m.lines++
	m.size += max(length-separatorBytes, 1)
}

// limitHead checks the head that is being read against the limits. If it must be refused, the
// refusal is written and the connection takes no further request. The caller must hold mu.
func (c *conn) limitHead() error {
	limits := c.listener.options.Heads
	if limits == nil || c.ended != nil {
		return c.ended
	}
	m := c.scanner.measured
	m.bytes += c.scanner.lineLength
	if most := limits.MaxBytes(); most > 0 {
		if c.phase == opaque {
			most += unreadBodyBytes
		}
		if m.size+c.scanner.lineLength-separatorBytes > most+headSlackBytes {
			return c.refuseHead(true)
		}
	}
	if !c.reserveHead(headMemory(m.bytes, m.lines) - freeHeadBytes) {
		return c.refuseHead(false)
	}
	return nil
}

// reserveHead reserves memory for the head that is being read, if necessary after the largest one of
// another connection was refused. It reports whether that was possible. The caller must hold mu.
func (c *conn) reserveHead(needed int64) bool {
	memory := c.listener.options.Heads.Memory
	if memory == nil || needed <= c.headReserved {
		return true
	}
	more := (needed - c.headReserved + headStepBytes - 1) / headStepBytes * headStepBytes
	for memory.Reserve(more) != nil {
		if !c.listener.refuseLargestHead(c, c.headReserved+more) {
			return false
		}
	}
	c.headReserved += more
	c.listener.recordHead(c, c.headReserved)
	return true
}

// releaseHead releases the memory of a head. The caller must hold mu.
func (c *conn) releaseHead() {
	if c.headReserved == 0 {
		return
	}
	c.listener.recordHead(c, 0)
	c.listener.options.Heads.Memory.Release(c.headReserved)
	c.headReserved = 0
}

// refuseHead writes a refusal of the request whose head is being read, and ends the caller's byte
// stream. The caller must hold mu; the server writes nothing while it reads a head.
func (c *conn) refuseHead(tooLarge bool) error {
	c.listener.refusedHeads.Inc(1)
	c.listener.options.Log.Warn().Str("caller", c.RemoteAddr().String()).Bool("too_large", tooLarge).
		Int("bytes", c.scanner.measured.bytes).Int("fields", c.scanner.measured.lines).Msg("request was refused while its head was read")
	c.headRefused = true
	c.end(errHeadRefused, "a head is refused")
	c.releaseHead()
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = c.Conn.Write(c.listener.options.Heads.Refusal(tooLarge)) // the caller may have disconnected
	}
	return errHeadRefused
}

// giveWay makes the connection refuse the head that it is reading with its next read, and releases
// its memory. It reports false if it reads none.
func (c *conn) giveWay() bool {
	if !c.mu.TryLock() {
		return false // it makes progress
	}
	defer c.mu.Unlock()
	if c.phase != readingHead || c.ended != nil || c.headReserved == 0 {
		return false
	}
	c.headGivesWay = true
	c.releaseHead()
	return c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// recordHead records the memory that the head of a connection has reserved.
func (l *Listener) recordHead(c *conn, reserved int64) {
	l.headsMu.Lock()
	defer l.headsMu.Unlock()
	if reserved == 0 {
		delete(l.heads, c)
		return
	}
	l.heads[c] = reserved
}

// refuseLargestHead refuses the head of another connection that has reserved most, if that is more
// than size, and reports whether there was one.
func (l *Listener) refuseLargestHead(requester *conn, size int64) bool {
	type head struct {
		conn     *conn
		reserved int64
	}
	var larger []head
	l.headsMu.Lock()
	for c, reserved := range l.heads {
		if c != requester && reserved > size {
			larger = append(larger, head{c, reserved})
		}
	}
	l.headsMu.Unlock()
	slices.SortFunc(larger, func(a, b head) int { return cmp.Compare(b.reserved, a.reserved) })
	return slices.ContainsFunc(larger, func(h head) bool { return h.conn.giveWay() })
}
