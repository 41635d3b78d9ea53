package action

import (
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
)

// StepKind is the kind of operation that an Attempt asks for.
type StepKind uint8

// The kinds of step.
const (
	// StepDone: the attempt has ended with a result, a refusal or Stale.
	StepDone StepKind = iota
	// StepRun: run the action, then call RunDone.
	StepRun
	// StepForward: forward the call to Owner with TombstoneSequence, then call
	// ForwardDone.
	StepForward
	// StepClaim: create the claim of the key in the store, then call ClaimDone.
	StepClaim
	// StepReadClaim: read the claim from the store, then call ClaimReadDone.
	StepReadClaim
	// StepReadJournal: read the journal of Owner, then call JournalReadDone.
	StepReadJournal
)

// Step is the next operation of an Attempt, or its end.
type Step struct {
	Kind  StepKind
	Owner string
	// TombstoneSequence is the number to forward with StepForward, or the owner's
	// present number when Stale is true.
	TombstoneSequence uint64

	Result  *call.Result
	Refused *refusal.Refusal
	// Stale is true when a forwarded attempt was not started because its tombstone
	// sequence is too old. It must be forwarded again with TombstoneSequence.
	Stale bool
}

// ForwardInfo is what an entry states about a call that it forwards to the owner
// of the key.
type ForwardInfo struct {
	// Owner is the incarnation that the call is meant for.
	Owner string
	// TombstoneSequence is the latest tombstone sequence of the owner that the
	// forwarding entry knew when its attempt began or was last found stale.
	TombstoneSequence uint64
}

// maxForwards limits how often one attempt is forwarded, including the first time.
const maxForwards = 4

// maxClaimWrites limits how often one attempt writes the claim when replies are
// lost, including the first time.
const maxClaimWrites = 3

// Attempt is one request for an action, handled at one entry.
type Attempt struct {
	core        *Core
	requestHash uint64
	key         Key
	digest      Digest
	// owner is the incarnation that may start the action, once it is known.
	owner string
	// forwardInfo is nil for a call that came from a caller.
	forwardInfo *ForwardInfo
	// ownerSequence is the owner's tombstone sequence to forward the call with.
	ownerSequence uint64
	forwards      int
	claimWrites   int
}

// Digest returns the digest of the attempt's action.
func (a *Attempt) Digest() Digest { return a.digest }

// LiveFunc reports whether the incarnation is that of a live member.
type LiveFunc func(incarnation string) bool

// Begin starts an attempt and returns its first step. forwardInfo is nil for a
// call that came from a caller, not from another entry.
func (c *Core) Begin(now time.Time, cl *call.Call, isLive LiveFunc, forwardInfo *ForwardInfo) (*Attempt, Step) {
	a := &Attempt{core: c, forwardInfo: forwardInfo, requestHash: hashRequest(cl), digest: DigestOf(cl.Workspace, cl.IdempotencyKey)}
	key, err := ParseKey(cl.IdempotencyKey)
	if err != nil {
		return a, refusedStep(refuseKeyInvalid(err))
	}
	a.key = key
	a.owner = key.Owner
	if forwardInfo != nil {
		a.owner = forwardInfo.Owner
		if a.owner != c.incarnation {
			return a, refusedStep(refuseOwnerUnreachable(a.owner))
		}
	}
	if a.owner == "" {
		return a, a.startWithoutOwner()
	}
	return a, a.startWithOwner(now, isLive)
}

// startWithoutOwner handles a key that names no owner: a recorded key is answered
// from its record, any other is claimed in the store.
func (a *Attempt) startWithoutOwner() Step {
	if r, recorded := a.core.table.records[a.digest]; recorded {
		return a.replay(r)
	}
	a.claimWrites++
	return Step{Kind: StepClaim}
}

// startWithOwner starts the action if this incarnation owns the key, forwards
// the call to a live owner, or reads the journal of an owner that is not live.
func (a *Attempt) startWithOwner(now time.Time, isLive LiveFunc) Step {
	if a.owner == a.core.incarnation {
		return a.startAsOwner(now)
	}
	if !isLive(a.owner) {
		return Step{Kind: StepReadJournal, Owner: a.owner}
	}
	a.ownerSequence = a.core.ownerSequences[a.owner]
	return a.forward()
}

func (a *Attempt) forward() Step {
	a.forwards++
	return Step{Kind: StepForward, Owner: a.owner, TombstoneSequence: a.ownerSequence}
}

// startAsOwner starts the action at its owner, or answers from its record.
func (a *Attempt) startAsOwner(now time.Time) Step {
	c := a.core
	if r, recorded := c.table.records[a.digest]; recorded {
		return a.replay(r)
	}
	if c.table.mayHaveBeenEvicted(a.key.Stamp) {
		return refusedStep(refuseKeyExpired())
	}
	if c.sealed {
		return refusedStep(refuseStopping())
	}
	if a.forwardInfo != nil && c.tombstones.stale(a.digest, a.forwardInfo.TombstoneSequence) && !c.injectedFaults.ignoreTombstones {
		return Step{Kind: StepDone, Stale: true, TombstoneSequence: c.tombstones.sequence}
	}
	if c.injectedFaults.recordAfterRun {
		return Step{Kind: StepRun}
	}
	if !c.table.insert(now, a.digest, a.requestHash, a.key.Stamp) {
		c.tombstones.add(a.digest)
		return refusedStep(refuseTableFull(c.options.Capacity))
	}
	return Step{Kind: StepRun}
}

// replay answers a key that is recorded.
func (a *Attempt) replay(r record) Step {
	switch {
	case r.requestHash != a.requestHash:
		return refusedStep(refuseKeyReused())
	case r.phase == phaseRunning:
		return refusedStep(refuseInProgress())
	case r.phase == phaseUnknown:
		return refusedStep(refuseOutcomeUnknown())
	}
	if replayed := a.core.table.answers.replay(a.digest); replayed != nil {
		return Step{Kind: StepDone, Result: replayed}
	}
	return refusedStep(refuseAnswerNotKept(int(r.status)))
}

// RunDone handles the result of StepRun.
func (a *Attempt) RunDone(now time.Time, result *call.Result, err error) Step {
	c := a.core
	if c.injectedFaults.recordAfterRun {
		c.table.insert(now, a.digest, a.requestHash, a.key.Stamp)
	}
	refused := refusalOfRun(result, err)
	switch {
	case refused == nil:
		c.finish(now, a, phaseRan, result.Answer.Status, result)
		return Step{Kind: StepDone, Result: result}
	case refused.Outcome == refusal.NotRun:
		c.finishNotRun(a.digest)
	case refused.Outcome == refusal.Ran:
		c.finish(now, a, phaseRan, refused.Status, nil)
	default:
		c.finish(now, a, phaseUnknown, 0, nil)
	}
	return refusedStep(refused)
}

// refusalOfRun returns the refusal to report for a run, or nil if the upstream
// answered it. An error that is not a refusal leaves the outcome unknown. An
// answer in which the upstream states that it did no work is "not-run".
func refusalOfRun(result *call.Result, err error) *refusal.Refusal {
	if err != nil {
		var refused *refusal.Refusal
		if errors.As(err, &refused) {
			return refused
		}
		return refuseOutcomeUnknown()
	}
	if result.Answer.NotRun() {
		return refuseUpstreamNotRun()
	}
	return nil
}

// Reply is the owner's reply to a forwarded attempt.
type Reply struct {
	Result            *call.Result     `msgpack:"r"`
	Refused           *refusal.Refusal `msgpack:"f"`
	Stale             bool             `msgpack:"s"`
	TombstoneSequence uint64           `msgpack:"n"`
}

// notFromOwner reports whether the replying process is not the owner of the key.
func (r *Reply) notFromOwner() bool {
	if r.Result != nil {
		return false
	}
	return r.Refused == nil || r.Refused.Kind == refusal.ActionOwnerUnreachable
}

// ForwardDone handles the owner's reply to StepForward, or the failure to get one.
func (a *Attempt) ForwardDone(reply *Reply, err error) Step {
	if err != nil {
		return Step{Kind: StepReadJournal, Owner: a.owner}
	}
	a.core.observeSequence(a.owner, reply.TombstoneSequence)
	if reply.Stale {
		return a.forwardAgain(reply.TombstoneSequence)
	}
	if reply.notFromOwner() {
		return Step{Kind: StepReadJournal, Owner: a.owner}
	}
	return Step{Kind: StepDone, Result: reply.Result, Refused: reply.Refused}
}

// forwardAgain forwards a stale attempt with the owner's current sequence. After
// maxForwards it refuses the attempt with the outcome "unknown".
func (a *Attempt) forwardAgain(ownerSequence uint64) Step {
	if a.forwards >= maxForwards {
		return refusedStep(refuseOwnerUnreachable(a.owner))
	}
	a.ownerSequence = ownerSequence
	return a.forward()
}

// JournalReadDone handles the result of StepReadJournal. Journal is nil when the
// owner has none or it cannot be read.
func (a *Attempt) JournalReadDone(journal *Journal) Step {
	if a.core.injectedFaults.unreachableIsNotRun {
		return refusedStep(refuseOwnerGone(a.owner))
	}
	if a.core.injectedFaults.runForGoneOwner {
		a.core.table.insert(time.Unix(0, 0), a.digest, a.requestHash, a.key.Stamp)
		return Step{Kind: StepRun}
	}
	if journal == nil {
		return refusedStep(refuseOwnerUnreachable(a.owner))
	}
	entry, found := journal.Find(a.digest)
	switch {
	case !found && journal.ProvesNotRun(a.key.Stamp):
		return refusedStep(refuseOwnerGone(a.owner))
	case !found:
		return refusedStep(refuseOwnerUnreachable(a.owner))
	case entry.Request != a.requestHash:
		return refusedStep(refuseKeyReused())
	case !entry.Ran:
		return refusedStep(refuseOutcomeUnknown())
	case entry.Answer == nil:
		return refusedStep(refuseAnswerNotKept(int(entry.Status)))
	}
	return Step{Kind: StepDone, Result: entry.result()}
}

func refusedStep(refused *refusal.Refusal) Step { return Step{Kind: StepDone, Refused: refused} }
