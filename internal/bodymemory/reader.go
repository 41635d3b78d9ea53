package bodymemory

import "time"

// Conn is a caller's connection to which a response is written.
type Conn interface {
	// BytesWritten returns the bytes written since the connection was opened.
	BytesWritten() int64
	// BytesRead returns how many of them the caller has acknowledged.
	BytesRead() int64
	// Disconnect aborts reads and writes, so that the server closes the connection and the
	// caller finds its response truncated. It must not block.
	Disconnect()
	// StopReading lets reads fail until a new read deadline is set. It must not block.
	StopReading()
	// Enlarge gives the connection larger buffers of the kernel if there is memory for them.
	Enlarge()
}

// Reader is a caller to which a response is being written.
type Reader struct {
	conn Conn
	// startedAt is when the response began, writtenBefore how many bytes had been written
	// to the connection by then.
	startedAt     time.Time
	writtenBefore int64
	// bytesRead is what the caller had read of the response at sampledAt. progressAt is the
	// last sample that found more than the one before, or the first one.
	bytesRead             int64
	sampledAt, progressAt time.Time
}

// sampleInterval is the age from which a sample of a reader is replaced.
const sampleInterval = 250 * time.Millisecond

// sample updates what the caller has read. Bytes of earlier responses on the connection do
// not count.
func (r *Reader) sample(now time.Time) {
	if !r.sampledAt.IsZero() && now.Sub(r.sampledAt) < sampleInterval {
		return
	}
	bytesRead := r.conn.BytesRead() - r.writtenBefore // negative while earlier responses are read
	if r.sampledAt.IsZero() || bytesRead > r.bytesRead {
		r.progressAt = now
	}
	r.bytesRead, r.sampledAt = bytesRead, now
}

// StartReading states that the response is now written to conn, where its caller is
// disconnected if it reads too slowly while memory is short. Release ends that.
func (r *Reservation) StartReading(conn Conn) {
	if r == nil || conn == nil {
		return
	}
	written := conn.BytesWritten()
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.released {
		r.reader = Reader{conn: conn, startedAt: m.now(), writtenBefore: written}
	}
}

// Disconnection describes a caller that was disconnected, or whose body is not received further.
type Disconnection struct {
	Reason    Reason
	Owner     Owner
	Held      int64
	BytesRead int64
	// Age is how long the response was being written, Quiet how long the caller had read
	// nothing.
	Age, Quiet time.Duration
}

// Reason is why a caller was disconnected.
type Reason string

// The reasons for disconnecting a caller.
const (
	// Slowest is a caller whose memory another request needed.
	Slowest Reason = "slowest"
	// Stalled is a caller that read nothing for stallTimeout.
	Stalled Reason = "stalled"
	// GaveWay is a caller whose request is refused while its body is being received, because
	// another request or connection needs what it holds.
	GaveWay Reason = "gave_way"
)

// readers returns the reservations whose responses are being written, and the state of their
// readers. The caller must hold mu.
func (m *Memory) readers(now time.Time) (reading []*Reservation, states []readerState) {
	for r := m.first; r != nil; r = r.next {
		if r.reader.conn == nil {
			continue
		}
		if now.Sub(r.reader.startedAt) >= minReaderAge {
			r.reader.sample(now)
		}
		reading = append(reading, r)
		states = append(states, r.state(now))
	}
	return reading, states
}

func (r *Reservation) state(now time.Time) readerState {
	s := readerState{held: r.size, bytesRead: r.reader.bytesRead, age: now.Sub(r.reader.startedAt)}
	if !r.reader.progressAt.IsZero() {
		s.quiet = now.Sub(r.reader.progressAt)
	}
	return s
}

// disconnectSlowest disconnects the slowest readers until need bytes are free, or none if
// that cannot be reached. The caller must hold mu.
func (m *Memory) disconnectSlowest(need int64) []Disconnection {
	now := m.now()
	reading, states := m.readers(now)
	var disconnected []Disconnection
	for _, i := range slowestReaders(states, need) {
		disconnected = append(disconnected, m.disconnect(reading[i], states[i], Slowest))
	}
	return disconnected
}

// disconnect disconnects a caller and releases its memory, which its goroutine drops as soon
// as its write returns. The caller must hold mu.
func (m *Memory) disconnect(r *Reservation, s readerState, reason Reason) Disconnection {
	r.reader.conn.Disconnect()
	d := Disconnection{Reason: reason, Owner: r.owner, Held: s.held, BytesRead: s.bytesRead, Age: s.age, Quiet: s.quiet}
	m.release(r)
	return d
}

// DisconnectStalled disconnects the callers that have read nothing for stallTimeout while
// more than half of the limit is in use. It is to be called several times a second.
func (m *Memory) DisconnectStalled() {
	m.mu.Lock()
	var disconnected []Disconnection
	if scarce(m.used, m.limit) {
		reading, states := m.readers(m.now())
		for i, s := range states {
			if stalled(s) && scarce(m.used, m.limit) {
				disconnected = append(disconnected, m.disconnect(reading[i], s, Stalled))
			}
		}
	}
	m.mu.Unlock()
	m.report(disconnected)
}
