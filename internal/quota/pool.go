package quota

import (
	"sync/atomic"
	"time"
)

// closed marks a cell whose tokens went back to the core.
const closed = -1 << 62

// cell holds tokens that the request path may spend until expiresAt. All but
// left is immutable.
type cell struct {
	left        atomic.Int64
	expiresAt   time.Time
	refuseUntil time.Time
	retryAfter  time.Duration
	publishedAt time.Time
}

// pool is what the request path knows of one workspace.
type pool struct {
	cell     atomic.Pointer[cell]
	attempts atomic.Int64
}

// verdict is what a pool says of a request.
type verdict int

const (
	admitted verdict = iota
	refused
	undecided
)

// take spends one token. The clock is read after the token was taken, so that a
// process that was paused in between does not spend an expired one.
func (p *pool) take(now func() time.Time) (verdict, time.Duration) {
	p.attempts.Add(1)
	for {
		current := p.cell.Load()
		left := current.left.Load()
		if left < int64(Token) {
			return current.whenEmpty(left, now())
		}
		if !current.left.CompareAndSwap(left, left-int64(Token)) {
			continue
		}
		if now().Before(current.expiresAt) {
			return admitted, 0
		}
		return undecided, 0
	}
}

func (c *cell) whenEmpty(left int64, now time.Time) (verdict, time.Duration) {
	if left >= 0 && now.Before(c.refuseUntil) {
		return refused, c.retryAfter
	}
	return undecided, 0
}

// close ends the spending from the pool's cell and returns what it has left.
func (p *pool) close() Units {
	return Units(p.cell.Load().left.Swap(closed))
}

// idle reports whether nothing happened in the pool since its cell was
// published, less than a republish interval ago.
func (p *pool) idle(now time.Time) bool {
	return p.attempts.Load() == 0 && now.Sub(p.cell.Load().publishedAt) < republishInterval
}

// republishInterval bounds the age of the cell of an idle workspace.
const republishInterval = time.Second
