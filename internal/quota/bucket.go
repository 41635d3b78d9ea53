package quota

import "time"

// bucket is the token bucket of one share of a workspace's quota at the issuer of
// that share. The tokens in the bucket and the granted tokens that holders may still
// spend never exceed the capacity together.
type bucket struct {
	rate     float64 // tokens per second
	capacity Microtokens
	level    Microtokens
	// filledAt is the time up to which tokens were created. It lies in the future
	// while the bucket must not issue tokens yet.
	filledAt time.Time
	accounts map[string]*account
	// pendingDebit is the debit that the faulty variant creditBeforeDebit postpones.
	// Only tests use it.
	pendingDebit Microtokens
}

// account records what one holder may still spend of a bucket.
type account struct {
	sequence uint64
	// granted is the amount of the last grant, which a repeated request gets again.
	granted Microtokens
	// outstanding is the amount that the holder may still spend.
	outstanding Microtokens
	expiresAt   time.Time
}

func newBucket(issueStart time.Time) *bucket {
	return &bucket{filledAt: issueStart, accounts: make(map[string]*account)}
}

// configure changes the rate and the capacity. Tokens above a lower capacity are
// dropped.
func (b *bucket) configure(now time.Time, rate float64, capacity Microtokens) {
	b.refill(now)
	b.rate = rate
	b.capacity = capacity
	b.level = max(0, min(b.level, b.capacity-b.outstanding()))
}

// refill removes expired accounts and creates the tokens for the time since the last
// refill, up to the capacity.
func (b *bucket) refill(now time.Time) {
	for holder, a := range b.accounts {
		if !now.Before(a.expiresAt) {
			delete(b.accounts, holder)
		}
	}
	if !now.After(b.filledAt) {
		return
	}
	created := Microtokens(b.rate * now.Sub(b.filledAt).Seconds() * float64(Token))
	b.filledAt = now
	b.level = max(b.level, min(b.level+created, b.capacity-b.outstanding()))
}

// halfRefillTime returns the time in which half the capacity is created.
func (b *bucket) halfRefillTime() time.Duration {
	if b.rate == 0 {
		return 0
	}
	return time.Duration(float64(b.capacity) / 2 / float64(Token) / b.rate * float64(time.Second))
}

func (b *bucket) outstanding() Microtokens {
	var sum Microtokens
	for _, a := range b.accounts {
		sum += a.outstanding
	}
	return sum
}

// grant debits the bucket and returns the amount granted. A repeated request gets the
// same grant again, and a request with an older sequence than the last one gets none.
// Tokens that the holder returns are credited once.
func (b *bucket) grant(now time.Time, holder string, request GrantRequest, ttl time.Duration) Microtokens {
	b.refill(now)
	a, known := b.accounts[holder]
	if known && request.Sequence == a.sequence {
		return a.granted
	}
	if known && request.Sequence < a.sequence {
		return 0
	}
	if known {
		b.creditReturned(a, request)
	}
	amount := max(0, min(request.Amount, b.level))
	b.level -= amount
	b.accounts[holder] = &account{
		sequence:    request.Sequence,
		granted:     amount,
		outstanding: request.Held + amount,
		expiresAt:   now.Add(withClockMargin(ttl)),
	}
	return amount
}

// creditReturned credits the tokens that a holder returns, up to the capacity, which
// may have been lowered since the grant.
func (b *bucket) creditReturned(a *account, request GrantRequest) {
	returned := max(0, min(request.Returned, a.outstanding-request.Held))
	a.outstanding -= returned
	b.level = max(b.level, min(b.level+returned, b.capacity-b.outstanding()))
}

// remoteShare is the state that a holder keeps about a share of another issuer: the
// tokens granted from it and the last grant request.
type remoteShare struct {
	issuer string
	share  int
	// sequence, pending, requested and requestedAt describe the last grant request.
	sequence    uint64
	pending     bool
	requested   Microtokens
	requestedAt time.Time
	tokens      Microtokens
	expiresAt   time.Time
	// retryAt is the earliest time for the next grant request.
	retryAt time.Time
	backoff time.Duration
	// issues is true if the last reply said that the issuer issues the share.
	issues bool
	// lost is true if the last grant request got no reply.
	lost bool
}

// held returns the amount that may still be spent. Expired tokens are dropped.
func (r *remoteShare) held(now time.Time) Microtokens {
	if !now.Before(r.expiresAt) {
		r.tokens = 0
	}
	return r.tokens
}

// newRequest returns the next grant request and marks it as pending.
func (r *remoteShare) newRequest(now time.Time, workspace string, sequence uint64, amount Microtokens) GrantRequest {
	r.sequence = sequence
	r.pending = true
	r.requested = amount
	r.requestedAt = now
	return GrantRequest{Workspace: workspace, Share: r.share, Sequence: r.sequence, Held: r.held(now), Amount: amount}
}

// credit ends the pending request if the grant is the reply to it and reports whether
// it did. Grants of other sequences are ignored. Tokens of a grant that has already
// expired are not credited.
func (r *remoteShare) credit(now time.Time, g Grant, ttl time.Duration) bool {
	if !r.pending || g.Sequence != r.sequence {
		return false
	}
	r.pending = false
	expiresAt := r.requestedAt.Add(ttl)
	if !now.Before(expiresAt) || !g.Issues {
		return true
	}
	r.tokens = r.held(now) + g.Amount
	r.expiresAt = expiresAt
	return true
}
