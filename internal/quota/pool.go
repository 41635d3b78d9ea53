package quota

import (
	"sync/atomic"
	"time"
)

// reclaimed is the value of allotment.left once its tokens went back to the core.
const reclaimed = -1 << 62

// allotment holds tokens that the request path may spend until expiresAt. All fields
// but left are immutable.
type allotment struct {
	left        atomic.Int64
	expiresAt   time.Time
	refuseUntil time.Time
	retryAfter  time.Duration
	publishedAt time.Time
}

// pool is the state of one workspace on the request path.
type pool struct {
	allotment atomic.Pointer[allotment]
	attempts  atomic.Int64
}

// takeResult is the result of taking a token from a pool.
type takeResult int

const (
	admitted takeResult = iota
	refused
	undecided
)

// take spends one token. The clock is read after the token was taken, so that a
// process that was paused in between does not spend an expired token.
func (p *pool) take(now func() time.Time) (takeResult, time.Duration) {
	p.attempts.Add(1)
	for {
		current := p.allotment.Load()
		left := current.left.Load()
		if left < int64(Token) {
			return current.resultWhenEmpty(left, now())
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

func (a *allotment) resultWhenEmpty(left int64, now time.Time) (takeResult, time.Duration) {
	if left >= 0 && now.Before(a.refuseUntil) {
		return refused, a.retryAfter
	}
	return undecided, 0
}

// reclaim ends the spending from the current allotment and returns the tokens left.
func (p *pool) reclaim() Microtokens {
	return Microtokens(p.allotment.Load().left.Swap(reclaimed))
}

// idle reports whether the pool has seen no request since its allotment was
// published, and the allotment is younger than republishInterval.
func (p *pool) idle(now time.Time) bool {
	return p.attempts.Load() == 0 && now.Sub(p.allotment.Load().publishedAt) < republishInterval
}

// republishInterval bounds the age of the allotment of an idle workspace.
const republishInterval = time.Second
