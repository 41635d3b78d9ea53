package ownership

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ownedCount returns the number of endpoints that running instances may use.
func (z *zone) ownedCount() int {
	n := 0
	for _, i := range z.instances {
		if i.running() && !z.now.After(i.core.Expiry()) {
			n += len(i.core.Held())
		}
	}
	return n
}

// anyOwner returns a running instance that holds an endpoint, or nil.
func (z *zone) anyOwner() *instance {
	for _, i := range z.instances {
		if i.running() && len(i.core.Held()) > 0 {
			return i
		}
	}
	return nil
}

// rounds returns the number of ticks in a duration.
func rounds(d time.Duration) int { return int(d / fuzzTick) }

func TestEveryEndpointGetsOneOwner(t *testing.T) {
	gomega.NewWithT(t).Expect(newZone().ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestEndpointsOfACrashedOwnerAreTakenOver(t *testing.T) {
	z := newZone()
	z.stop(z.anyOwner(), true)
	z.converge(rounds(time.Second))
	gomega.NewWithT(t).Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
}

// If the platform delists an owner whose connections were not closed, its endpoints must
// stay blocked until its requests have timed out.
func TestDelistedOwnerBlocksEndpointsUntilRequestTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	z.stop(z.anyOwner(), false)
	z.converge(rounds(fuzzRequestTimeout))
	g.Expect(z.ownedCount()).To(gomega.BeNumerically("<", len(fuzzEndpoints)))
	z.converge(rounds(2*defaultTickTimeout + defaultRefreshInterval + 2*fuzzRequestTimeout + 2*defaultRequestTimeoutMargin))
	g.Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
}

// loseMessages advances the zone and drops all messages on the way.
func (z *zone) loseMessages(d time.Duration) {
	for range rounds(d) {
		z.advance(fuzzTick)
		z.network = nil
		z.startAllRequests()
	}
}

// Instances that are listed but do not hear each other must all take over the endpoints,
// each with a part of the slots, and return to one owner once they hear each other.
func TestTakeoverFromUnresponsiveSiblingSharesSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	z.loseMessages(2 * defaultTickTimeout)
	g.Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
	z.loseMessages(30 * time.Second)
	for _, i := range z.instances[:3] {
		g.Expect(i.core.Held()).To(gomega.Equal(fuzzEndpoints))
		divisor, _ := i.core.SlotShare(z.now, fuzzEndpoints[0])
		g.Expect(divisor).To(gomega.Equal(3))
	}
	z.converge(rounds(10 * time.Second))
	g.Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
	divisor, _ := z.anyOwner().core.SlotShare(z.now, z.anyOwner().core.Held()[0])
	g.Expect(divisor).To(gomega.Equal(1))
}

func TestOneInstanceTakesOverFromPausedSiblings(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	for _, i := range z.instances[1:3] {
		i.pausedAt = z.now
	}
	z.loseMessages(30 * time.Second)
	g.Expect(z.instances[0].core.Held()).To(gomega.Equal(fuzzEndpoints))
}

func TestPausedOwnerMustClaimAgainAfterExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	paused := z.anyOwner()
	paused.pausedAt = z.now
	z.advance(defaultTickTimeout + fuzzTick)
	paused.pausedAt = time.Time{}
	g.Expect(z.now.After(paused.core.Expiry())).To(gomega.BeTrue())
	z.tick(paused)
	g.Expect(paused.core.Held()).To(gomega.BeEmpty())
	z.converge(rounds(time.Second))
	g.Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestLeavingOwnerReleasesEndpointsOnceIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	leaving := z.anyOwner()
	z.startAllRequests()
	leaving.core.SetLeaving(z.now)
	g.Expect(leaving.core.Held()).NotTo(gomega.BeEmpty()) // nobody has claimed them yet
	z.converge(2)
	g.Expect(leaving.core.Held()).To(gomega.BeEmpty())
	g.Expect(leaving.core.Yielding()).NotTo(gomega.BeEmpty())
	z.converge(rounds(fuzzRequestTimeout + time.Second))
	g.Expect(leaving.core.Yielding()).To(gomega.BeEmpty())
	g.Expect(z.ownedCount()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestLoneInstanceClaimsEndpointsWithoutInstanceList(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	core := New(now, "a", "a-1", Options{})
	core.SetEndpoints(now, map[string]time.Duration{"e1": fuzzRequestTimeout})
	core.Tick(now)
	g.Expect(core.Held()).To(gomega.BeEmpty())
	for waited := fuzzTick; waited <= defaultListWait; waited += fuzzTick {
		core.Tick(now.Add(waited))
	}
	g.Expect(core.Held()).To(gomega.Equal([]string{"e1"}))
}
