package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
)

var start = time.Unix(1000, 0)

// newCoreWithAllShares returns a core that holds all shares of a quota with rate 10/s
// and burst 20, in a fleet of one zone.
func newCoreWithAllShares() *Core {
	c := NewCore(start, Peer{Incarnation: "a-1", Instance: "a", Zone: "z"}, Options{})
	c.Configure(start, Limits{Revision: 1, Zones: 1, Workspaces: map[string]Limit{"azul": {Rate: 10, Burst: 20}}})
	zone := c.PlanZone(start, start, ZoneRecord{}, nil)
	c.ZoneStored(start, zone)
	c.CheckZones(start, []ZoneRecord{zone.Record})
	c.OwnersStored(start, c.PlanOwners(start, start, OwnerTable{}, nil))
	return c
}

func acquireAll(c *Core, now time.Time) int {
	acquired := 0
	for c.TryAcquire(now, "azul") {
		acquired++
	}
	return acquired
}

func TestRetryAfterIsTimeUntilFreeToken(t *testing.T) {
	g := NewWithT(t)
	c := newCoreWithAllShares()
	g.Expect(acquireAll(c, start)).To(Equal(20))
	for id := range uint64(5) {
		c.Acquire(start, "azul", id, start.Add(time.Minute))
	}
	_, decisions := c.Drain()
	g.Expect(decisions).To(HaveLen(3), "two tokens come soon enough to wait for")
	g.Expect(decisions).To(HaveEach(HaveField("RetryAfter", BeNumerically("~", 300*time.Millisecond, time.Microsecond))))
	c.Tick(start.Add(201*time.Millisecond), 201*time.Millisecond)
	_, decisions = c.Drain()
	g.Expect(decisions).To(HaveEach(HaveField("Admitted", true)))
	g.Expect(decisions).To(HaveLen(2))
	g.Expect(c.TryAcquire(start.Add(299*time.Millisecond), "azul")).To(BeFalse())
	g.Expect(c.TryAcquire(start.Add(301*time.Millisecond), "azul")).To(BeTrue())
}

func TestNewEntryLetsRequestsWaitForItsShares(t *testing.T) {
	g := NewWithT(t)
	c := NewCore(start, Peer{Incarnation: "a-1", Instance: "a", Zone: "z"}, Options{})
	c.Configure(start, Limits{Revision: 1, Zones: 1, Workspaces: map[string]Limit{"azul": {Rate: 10, Burst: 20}}})
	c.Acquire(start, "azul", 1, start.Add(time.Minute))
	_, decisions := c.Drain()
	g.Expect(decisions).To(BeEmpty())
	c.OwnersStored(start, c.PlanOwners(start, start, OwnerTable{}, nil))
	c.Tick(start.Add(time.Millisecond), time.Millisecond)
	_, decisions = c.Drain()
	g.Expect(decisions).To(Equal([]Decision{{ID: 1, Admitted: true}}))
}

func TestPlanStoredAfterReleaseAssignsNoShares(t *testing.T) {
	g := NewWithT(t)
	c := newCoreWithAllShares()
	plan := c.PlanOwners(start, start, OwnerTable{}, nil)
	c.Release(start)
	c.OwnersStored(start, plan)
	g.Expect(c.OwnerShares()).To(BeEmpty())
}

func TestResumedProcessAcquiresNoTokens(t *testing.T) {
	g := NewWithT(t)
	c := newCoreWithAllShares()
	table := c.PlanOwners(start, start, OwnerTable{}, nil).Table
	resumed := start.Add(16 * time.Second)
	g.Expect(acquireAll(c, resumed)).To(BeZero())
	// The record still names this process, but the platform no longer lists its
	// instance.
	plan := c.PlanOwners(resumed.Add(time.Minute), resumed, table, ListedInstances{"b": true})
	c.OwnersStored(resumed.Add(time.Minute), plan)
	g.Expect(c.OwnerShares()).To(BeEmpty())
}

func TestLowerBurstRemovesTokensAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCoreWithAllShares()
	c.Configure(start, Limits{Revision: 2, Zones: 1, Workspaces: map[string]Limit{"azul": {Rate: 1, Burst: 4}}})
	g.Expect(acquireAll(c, start)).To(Equal(4))
}

func TestGrantsAreIdempotent(t *testing.T) {
	g := NewWithT(t)
	b := newBucket(start)
	b.configure(start, 0, 10*Token)
	b.level = 10 * Token
	request := GrantRequest{Sequence: 5, Amount: 4 * Token}
	g.Expect(b.grant(start, "h", request, time.Second)).To(Equal(4 * Token))
	g.Expect(b.grant(start, "h", request, time.Second)).To(Equal(4*Token), "repeated")
	g.Expect(b.grant(start, "h", GrantRequest{Sequence: 4, Amount: Token}, time.Second)).To(BeZero(), "older sequence")
	g.Expect(b.level).To(Equal(6 * Token))
	returned := GrantRequest{Sequence: 6, Returned: 3 * Token}
	b.grant(start, "h", returned, time.Second)
	b.grant(start, "h", returned, time.Second)
	g.Expect(b.level).To(Equal(9*Token), "returned once")
}

func TestReturnedTokensStayBelowALowerBurst(t *testing.T) {
	g := NewWithT(t)
	b := newBucket(start)
	b.configure(start, 0, 10*Token)
	b.level = 10 * Token
	b.grant(start, "h", GrantRequest{Sequence: 1, Amount: 8 * Token}, time.Second)
	b.configure(start, 0, 3*Token)
	b.grant(start, "h", GrantRequest{Sequence: 2, Returned: 8 * Token}, time.Second)
	g.Expect(b.level).To(Equal(3 * Token))
}

func TestZoneCheckFailsIfSharesExceedReservedFraction(t *testing.T) {
	g := NewWithT(t)
	c := newCoreWithAllShares()
	c.reservedShares[0].zonesChecked = false
	zoneRecord := ZoneRecord{Shares: make([]ReservedShareRecord, reservedSharesPerZone)}
	for i := range zoneRecord.Shares {
		zoneRecord.Shares[i].Divisor = 1
	}
	c.CheckZones(start, []ZoneRecord{zoneRecord, zoneRecord})
	g.Expect(c.NeedsZoneCheck()).To(BeTrue())
}

func TestPoolSpendsNoExpiredToken(t *testing.T) {
	g := NewWithT(t)
	p := &pool{}
	expired := &allotment{expiresAt: start, refuseUntil: start.Add(time.Second)}
	expired.left.Store(int64(Token))
	p.allotment.Store(expired)
	now := func() time.Time { return start }
	result, _ := p.take(now)
	g.Expect(result).To(Equal(undecided), "expired")
	result, _ = p.take(now)
	g.Expect(result).To(Equal(refused), "empty")
	p.reclaim()
	result, _ = p.take(now)
	g.Expect(result).To(Equal(undecided), "reclaimed")
}

// Guards against callers that are told to be above their rate although nobody knows: a deadline
// that ends while the entry waits for a token from others, and an entry without its quotas.
func TestUndecidedCallIsNotSaidToExceedItsRate(t *testing.T) {
	g := NewWithT(t)
	next := call.StageFunc(func(context.Context, *call.Call) (*call.Result, error) { return &call.Result{}, nil })
	s := NewStage(next, func() time.Time { return start }, control.NewLoop("test"), metrics.NewRegistry(),
		func(string, string) refusal.Outcome { return refusal.Unknown })
	s.setWorkspaces(map[string]Limit{"azul": {}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	for _, workspace := range []string{"azul", "not known yet"} {
		_, err := s.Serve(ctx, &call.Call{Workspace: workspace, Kind: configuration.Lookup})
		g.Expect(err).To(SatisfyAll(HaveField("Status", 503), HaveField("Kind", refusal.QuotaUndecided), HaveField("Outcome", refusal.NotRun)))
		_, err = s.Serve(ctx, &call.Call{Workspace: workspace, Kind: configuration.Action})
		g.Expect(err).To(SatisfyAll(HaveField("Status", 503), HaveField("Outcome", refusal.Unknown)))
	}
}

func TestStageChargesEachCallOnce(t *testing.T) {
	g := NewWithT(t)
	served := 0
	next := call.StageFunc(func(context.Context, *call.Call) (*call.Result, error) {
		served++
		return &call.Result{}, nil
	})
	refusalOutcome := func(string, string) refusal.Outcome { return refusal.Unknown }
	s := NewStage(next, func() time.Time { return start }, control.NewLoop("test"), metrics.NewRegistry(), refusalOutcome)
	s.setWorkspaces(map[string]Limit{"azul": {}})
	full := &allotment{expiresAt: start.Add(time.Second), refuseUntil: start.Add(time.Second), retryAfter: time.Second}
	full.left.Store(int64(Token))
	s.currentPools()["azul"].allotment.Store(full)
	serve := func(c call.Call) error {
		_, err := s.Serve(context.Background(), &c)
		return err
	}
	g.Expect(serve(call.Call{Workspace: "azul", Hops: 1})).To(Succeed())
	g.Expect(serve(call.Call{})).To(Succeed())
	g.Expect(serve(call.Call{Workspace: "azul"})).To(Succeed())
	g.Expect(serve(call.Call{Workspace: "azul", Kind: configuration.Lookup})).To(MatchError(
		refusal.New(429, refusal.RateExceeded, refusal.NotRun, `workspace "azul" is above its rate and burst`).WithRetryAfter(time.Second)))
	g.Expect(serve(call.Call{Workspace: "azul", Kind: configuration.Action})).To(HaveField("Outcome", refusal.Unknown))
	g.Expect(served).To(Equal(3))
}
