package quota

import "time"

// bucket is one part of a workspace's quota at its issuer. The tokens at the
// issuer and the tokens that holders may still spend never exceed the capacity.
type bucket struct {
	rate     float64 // tokens per second
	capacity Units
	level    Units
	// filledAt is the time up to which tokens were created. It lies in the
	// future while the part must not issue yet.
	filledAt time.Time
	accounts map[string]*account
	// unpaid is only used by a variant that tests break on purpose.
	unpaid Units
}

// account is what one holder may still spend of a bucket.
type account struct {
	sequence    uint64
	granted     Units
	outstanding Units
	expiresAt   time.Time
}

func newBucket(startAt time.Time) *bucket {
	return &bucket{filledAt: startAt, accounts: make(map[string]*account)}
}

// configure changes the part's rate and capacity. Tokens above a lower capacity
// are dropped.
func (b *bucket) configure(now time.Time, rate float64, capacity Units) {
	b.refill(now)
	b.rate = rate
	b.capacity = capacity
	b.level = max(0, min(b.level, b.capacity-b.outstanding()))
}

// refill creates the tokens of the time since the last refill, up to the
// capacity.
func (b *bucket) refill(now time.Time) {
	for holder, a := range b.accounts {
		if !now.Before(a.expiresAt) {
			delete(b.accounts, holder)
		}
	}
	if !now.After(b.filledAt) {
		return
	}
	created := Units(b.rate * now.Sub(b.filledAt).Seconds() * float64(Token))
	b.filledAt = now
	b.level = max(b.level, min(b.level+created, b.capacity-b.outstanding()))
}

// refillTime is the time in which half the capacity is created.
func (b *bucket) refillTime() time.Duration {
	if b.rate == 0 {
		return 0
	}
	return time.Duration(float64(b.capacity) / 2 / float64(Token) / b.rate * float64(time.Second))
}

func (b *bucket) outstanding() Units {
	var sum Units
	for _, a := range b.accounts {
		sum += a.outstanding
	}
	return sum
}

// grant debits the bucket and returns the amount granted. A repeated ask gets
// the same grant; an ask that was overtaken gets none. What the holder returns
// is credited once.
func (b *bucket) grant(now time.Time, holder string, ask Ask, ttl time.Duration) Units {
	b.refill(now)
	a, known := b.accounts[holder]
	if known && ask.Sequence == a.sequence {
		return a.granted
	}
	if known && ask.Sequence < a.sequence {
		return 0
	}
	if known {
		b.takeBack(a, ask)
	}
	amount := max(0, min(ask.Want, b.level))
	b.level -= amount
	b.accounts[holder] = &account{
		sequence:    ask.Sequence,
		granted:     amount,
		outstanding: ask.Held + amount,
		expiresAt:   now.Add(widened(ttl)),
	}
	return amount
}

// takeBack credits what a holder returns, up to the capacity: that may have
// become lower since the grant.
func (b *bucket) takeBack(a *account, ask Ask) {
	returned := max(0, min(ask.Returned, a.outstanding-ask.Held))
	a.outstanding -= returned
	b.level = max(b.level, min(b.level+returned, b.capacity-b.outstanding()))
}

// source is what a holder has of another issuer's part.
type source struct {
	issuer    string
	part      int
	sequence  uint64
	pending   bool
	want      Units
	askedAt   time.Time
	tokens    Units
	expiresAt time.Time
	// retryAt is when the issuer is worth asking again.
	retryAt time.Time
	pause   time.Duration
	// issues is true if the issuer's last answer said that it issues the part.
	issues bool
	// lost is true after an ask without an answer.
	lost bool
}

// held returns the amount that may be spent, dropping what has expired.
func (s *source) held(now time.Time) Units {
	if !now.Before(s.expiresAt) {
		s.tokens = 0
	}
	return s.tokens
}

// ask starts a new ask.
func (s *source) ask(now time.Time, workspace string, sequence uint64, want Units) Ask {
	s.sequence = sequence
	s.pending = true
	s.want = want
	s.askedAt = now
	return Ask{Workspace: workspace, Part: s.part, Sequence: s.sequence, Held: s.held(now), Want: want}
}

// credit takes a grant; grants of other sequences and late grants are dropped.
func (s *source) credit(now time.Time, g Grant, ttl time.Duration) bool {
	if !s.pending || g.Sequence != s.sequence {
		return false
	}
	s.pending = false
	expiresAt := s.askedAt.Add(ttl)
	if !now.Before(expiresAt) || !g.Issues {
		return true
	}
	s.tokens = s.held(now) + g.Amount
	s.expiresAt = expiresAt
	return true
}
