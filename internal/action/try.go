package action

import (
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
)

// StepKind names what a Try needs done.
type StepKind uint8

// The kinds of step.
const (
	// Ended: the try has ended, with a result or a refusal.
	Ended StepKind = iota
	// Run: run the action, then call Ran.
	Run
	// Forward: hand the call to Owner with Reading, then call Forwarded.
	Forward
	// Claim: create the claim of the key in the store, then call Claimed.
	Claim
	// ReadClaim: read the claim, then call ClaimRead.
	ReadClaim
	// ReadJournal: read the journal of Owner, then call JournalRead.
	ReadJournal
)

// Step is what a Try needs done next.
type Step struct {
	Kind    StepKind
	Owner   string
	Reading uint64

	Result  *call.Result
	Refused *refusal.Refusal
	// Stale is true when a handed try must be sent again with a new reading.
	Stale bool
}

// Handed is what another entry says of a call that it hands to its owner.
type Handed struct {
	// Owner is the incarnation that the call is meant for.
	Owner string
	// Reading is the owner's reading from when the try was taken on.
	Reading uint64
}

// maxSends bounds how often a stale try is sent again.
const maxSends = 4

// maxClaims bounds how often a claim with a lost reply is tried.
const maxClaims = 3

// Try is one try of an action at one entry.
type Try struct {
	core    *Core
	request uint64
	key     Key
	digest  Digest
	// owner is the incarnation that may start the action, once it is known.
	owner   string
	handed  *Handed
	reading uint64
	sends   int
	claims  int
}

// Digest returns the digest of the try's action.
func (t *Try) Digest() Digest { return t.digest }

// Visible reports whether a live member has the incarnation.
type Visible func(incarnation string) bool

// Begin takes on a try of a call. Handed is nil for a call of a caller.
func (c *Core) Begin(now time.Time, cl *call.Call, visible Visible, handed *Handed) (*Try, Step) {
	t := &Try{core: c, handed: handed, request: requestDigest(cl), digest: DigestOf(cl.Workspace, cl.IdempotencyKey)}
	key, err := ParseKey(cl.IdempotencyKey)
	if err != nil {
		return t, refuse(refuseInvalid(err))
	}
	t.key = key
	t.owner = key.Owner
	if handed != nil {
		t.owner = handed.Owner
		if t.owner != c.self {
			return t, refuse(refuseUnreachable(t.owner))
		}
	}
	if t.owner == "" {
		return t, t.unowned()
	}
	return t, t.owned(now, visible)
}

// unowned looks for the owner of a key that names none.
func (t *Try) unowned() Step {
	if r, known := t.core.table.records[t.digest]; known {
		return t.repeat(r)
	}
	t.claims++
	return Step{Kind: Claim}
}

func (t *Try) owned(now time.Time, visible Visible) Step {
	if t.owner == t.core.self {
		return t.start(now)
	}
	if !visible(t.owner) {
		return Step{Kind: ReadJournal, Owner: t.owner}
	}
	t.reading = t.core.readings[t.owner]
	return t.forward()
}

func (t *Try) forward() Step {
	t.sends++
	return Step{Kind: Forward, Owner: t.owner, Reading: t.reading}
}

// start runs at the owner: it starts the action or repeats its outcome.
func (t *Try) start(now time.Time) Step {
	c := t.core
	if r, known := c.table.records[t.digest]; known {
		return t.repeat(r)
	}
	if c.table.forgotten(t.key.Stamp) {
		return refuse(refuseExpired())
	}
	if c.sealed {
		return refuse(refuseStopping())
	}
	if t.handed != nil && c.refused.stale(t.digest, t.handed.Reading) && !c.broken.unordered {
		return Step{Kind: Ended, Stale: true, Reading: c.refused.reading}
	}
	if c.broken.sentFirst {
		return Step{Kind: Run}
	}
	if !c.table.start(now, t.digest, t.request, t.key.Stamp) {
		c.refused.add(t.digest)
		return refuse(refuseFull(c.options.Capacity))
	}
	return Step{Kind: Run}
}

// repeat answers a recorded key.
func (t *Try) repeat(r record) Step {
	switch {
	case r.request != t.request:
		return refuse(refuseReused())
	case r.phase == running:
		return refuse(refuseInProgress())
	case r.phase == unknown:
		return refuse(refuseUnknown())
	}
	if kept := t.core.table.answers.replay(t.digest); kept != nil {
		return Step{Kind: Ended, Result: kept}
	}
	return refuse(refuseNotKept(int(r.status)))
}

// Ran takes what came of the run.
func (t *Try) Ran(now time.Time, result *call.Result, failed error) Step {
	c := t.core
	if c.broken.sentFirst {
		c.table.start(now, t.digest, t.request, t.key.Stamp)
	}
	refused := refusalOf(result, failed)
	switch {
	case refused == nil:
		c.finish(now, t, ran, result.Answer.Status, result)
		return Step{Kind: Ended, Result: result}
	case refused.Outcome == refusal.NotRun:
		c.notRun(t.digest)
	case refused.Outcome == refusal.Ran:
		c.finish(now, t, ran, refused.Status, nil)
	default:
		c.finish(now, t, unknown, 0, nil)
	}
	return refuse(refused)
}

// refusalOf returns the refusal that is true of a run, or nil if it was
// answered. An upstream's documented refusal before work is "not-run".
func refusalOf(result *call.Result, failed error) *refusal.Refusal {
	if failed != nil {
		var refused *refusal.Refusal
		if errors.As(failed, &refused) {
			return refused
		}
		return refuseUnknown()
	}
	if result.Answer.NotRun() {
		return refuseUpstream()
	}
	return nil
}

// Reply is the owner's answer to a handed try.
type Reply struct {
	Result  *call.Result     `msgpack:"r"`
	Refused *refusal.Refusal `msgpack:"f"`
	Stale   bool             `msgpack:"s"`
	Reading uint64           `msgpack:"n"`
}

// unowned reports a reply of a process that is not the owner.
func (r *Reply) unowned() bool {
	if r.Result != nil {
		return false
	}
	return r.Refused == nil || r.Refused.Kind == refusal.OwnerUnreachable
}

// Forwarded takes the owner's reply, or the failure to get one.
func (t *Try) Forwarded(reply *Reply, failed error) Step {
	if failed != nil {
		return Step{Kind: ReadJournal, Owner: t.owner}
	}
	t.core.learn(t.owner, reply.Reading)
	if reply.Stale {
		return t.resend(reply.Reading)
	}
	if reply.unowned() {
		return Step{Kind: ReadJournal, Owner: t.owner}
	}
	return Step{Kind: Ended, Result: reply.Result, Refused: reply.Refused}
}

func (t *Try) resend(reading uint64) Step {
	if t.sends >= maxSends {
		return refuse(refuseUnreachable(t.owner))
	}
	t.reading = reading
	return t.forward()
}

// JournalRead takes the journal of an owner that cannot be reached. Journal is
// nil when there is none or it cannot be read.
func (t *Try) JournalRead(journal *Journal) Step {
	if t.core.broken.softened {
		return refuse(refuseGone(t.owner))
	}
	if t.core.broken.adopts {
		t.core.table.start(time.Unix(0, 0), t.digest, t.request, t.key.Stamp)
		return Step{Kind: Run}
	}
	if journal == nil {
		return refuse(refuseUnreachable(t.owner))
	}
	entry, found := journal.Find(t.digest)
	switch {
	case !found && journal.ProvesNotRun(t.key.Stamp):
		return refuse(refuseGone(t.owner))
	case !found:
		return refuse(refuseUnreachable(t.owner))
	case entry.Request != t.request:
		return refuse(refuseReused())
	case !entry.Ran:
		return refuse(refuseUnknown())
	case entry.Answer == nil:
		return refuse(refuseNotKept(int(entry.Status)))
	}
	return Step{Kind: Ended, Result: entry.result()}
}

func refuse(refused *refusal.Refusal) Step { return Step{Kind: Ended, Refused: refused} }
