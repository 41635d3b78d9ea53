package bodymemory

import (
	"cmp"
	"slices"
	"time"
)

// receiver is a request body that is being received.
type receiver struct {
	// stop ends the reading of the body. It must not block.
	stop func()
	// progressAt is when the last bytes arrived.
	progressAt time.Time
}

// quietTime is how long a body makes no progress before it gives way to any other reservation.
const quietTime = time.Second

// startReceiving states that the body of the reservation is being received until doneReceiving.
// stop may be nil; then the body gives way to none.
func (r *Reservation) startReceiving(stop func()) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if stop != nil && !r.released {
		r.receiver = &receiver{stop: stop, progressAt: m.now()}
	}
}

// received records that bytes have arrived and reports whether the body is to be read on.
func (r *Reservation) received() bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.receiver != nil {
		r.receiver.progressAt = m.now()
	}
	return !r.released
}

// doneReceiving states that the body is complete or given up, and reports whether its memory is
// still reserved.
func (r *Reservation) doneReceiving() bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.receiver = nil
	return !r.released
}

// stopReceivers stops bodies that are being received until need bytes are free, or none if that
// cannot be reached: those that have made no progress for quietTime, the quietest one first, and
// then those that hold more than size, the largest one first. The caller must hold mu.
func (m *Memory) stopReceivers(requester *Reservation, size, need int64) []Disconnection {
	now := m.now()
	var quiet, larger []*Reservation
	held := int64(0)
	for r := m.first; r != nil; r = r.next {
		if r == requester || r.receiver == nil || r.size == 0 {
			continue
		}
		switch {
		case now.Sub(r.receiver.progressAt) >= quietTime:
			quiet = append(quiet, r)
		case r.size > size:
			larger = append(larger, r)
		default:
			continue
		}
		held += r.size
	}
	if held < need {
		return nil
	}
	slices.SortFunc(quiet, func(a, b *Reservation) int { return a.receiver.progressAt.Compare(b.receiver.progressAt) })
	slices.SortFunc(larger, func(a, b *Reservation) int { return cmp.Compare(b.size, a.size) })
	var stopped []Disconnection
	for _, r := range append(quiet, larger...) {
		stopped = append(stopped, m.stopReceiving(r, now))
		if need -= stopped[len(stopped)-1].Held; need <= 0 {
			break
		}
	}
	return stopped
}

// stopReceiving stops the receiving of a body and releases its memory, which its goroutine drops as
// soon as its read returns. The caller must hold mu.
func (m *Memory) stopReceiving(r *Reservation, now time.Time) Disconnection {
	d := Disconnection{Reason: GaveWay, Owner: r.owner, Held: r.size, Age: now.Sub(r.startedAt), Quiet: now.Sub(r.receiver.progressAt)}
	r.receiver.stop()
	m.release(r)
	return d
}

// StopQuietest stops the body that has made no progress for longest, and reports whether there is
// one that has made none for quietTime.
func (m *Memory) StopQuietest() bool {
	m.mu.Lock()
	now := m.now()
	var quietest *Reservation
	for r := m.first; r != nil; r = r.next {
		if r.receiver == nil || now.Sub(r.receiver.progressAt) < quietTime {
			continue
		}
		if quietest == nil || r.receiver.progressAt.Before(quietest.receiver.progressAt) {
			quietest = r
		}
	}
	var stopped []Disconnection
	if quietest != nil {
		stopped = append(stopped, m.stopReceiving(quietest, now))
	}
	m.mu.Unlock()
	m.report(stopped)
	return quietest != nil
}
