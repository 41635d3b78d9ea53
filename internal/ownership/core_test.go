package ownership

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// owned counts the endpoints that running instances may use.
func (z *zone) owned() int {
	n := 0
	for _, i := range z.instances {
		if i.running() && !z.now.After(i.core.Expiry()) {
			n += len(i.core.Held())
		}
	}
	return n
}

// owner returns an instance that holds an endpoint.
func (z *zone) owner() *instance {
	for _, i := range z.instances {
		if i.running() && len(i.core.Held()) > 0 {
			return i
		}
	}
	return nil
}

func rounds(d time.Duration) int { return int(d / fuzzTick) }

func TestEveryEndpointGetsOneOwner(t *testing.T) {
	gomega.NewWithT(t).Expect(newZone().owned()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestEndpointsOfACrashedOwnerAreTakenOver(t *testing.T) {
	z := newZone()
	z.end(z.owner(), true)
	z.converge(rounds(time.Second))
	gomega.NewWithT(t).Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestEndpointsOfAVanishedOwnerWaitForItsBound(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	z.end(z.owner(), false)
	z.converge(rounds(fuzzBound))
	g.Expect(z.owned()).To(gomega.BeNumerically("<", len(fuzzEndpoints)))
	z.converge(rounds(2*defaultHold + defaultRefresh + 2*fuzzBound + 2*defaultBoundMargin))
	g.Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
}

// cutAll loses every message for a while.
func (z *zone) cutAll(d time.Duration) {
	for range rounds(d) {
		z.advance(fuzzTick)
		z.network = nil
		z.useAll()
	}
}

func TestASilentListedSiblingIsReplacedOnAPartOfTheSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	z.cutAll(2 * defaultHold)
	g.Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
	z.cutAll(30 * time.Second)
	for _, i := range z.instances[:3] {
		g.Expect(i.core.Held()).To(gomega.Equal(fuzzEndpoints))
		of, _ := i.core.Share(z.now, fuzzEndpoints[0])
		g.Expect(of).To(gomega.Equal(3))
	}
	z.converge(rounds(10 * time.Second))
	g.Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
	of, _ := z.owner().core.Share(z.now, z.owner().core.Held()[0])
	g.Expect(of).To(gomega.Equal(1))
}

func TestTheSurvivorOfAFrozenSiblingServesAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	for _, i := range z.instances[1:3] {
		i.paused = z.now
	}
	z.cutAll(30 * time.Second)
	g.Expect(z.instances[0].core.Held()).To(gomega.Equal(fuzzEndpoints))
}

func TestAPausedOwnerClaimsAgainBeforeItsNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	paused := z.owner()
	paused.paused = z.now
	z.advance(defaultHold + fuzzTick)
	paused.paused = time.Time{}
	g.Expect(z.now.After(paused.core.Expiry())).To(gomega.BeTrue())
	z.tick(paused)
	g.Expect(paused.core.Held()).To(gomega.BeEmpty())
	z.converge(rounds(time.Second))
	g.Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestALeavingOwnerReleasesOnceIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	z := newZone()
	leaving := z.owner()
	z.useAll()
	leaving.core.SetLeaving(z.now)
	g.Expect(leaving.core.Held()).NotTo(gomega.BeEmpty()) // nobody has claimed yet
	z.converge(2)
	g.Expect(leaving.core.Held()).To(gomega.BeEmpty())
	g.Expect(leaving.core.Yielding()).NotTo(gomega.BeEmpty())
	z.converge(rounds(fuzzBound + time.Second))
	g.Expect(leaving.core.Yielding()).To(gomega.BeEmpty())
	g.Expect(z.owned()).To(gomega.Equal(len(fuzzEndpoints)))
}

func TestALoneInstanceServesWithoutTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	core := New(now, "a", "a-1", Options{})
	core.SetEndpoints(now, map[string]time.Duration{"e1": fuzzBound})
	core.Tick(now)
	g.Expect(core.Held()).To(gomega.BeEmpty())
	for waited := fuzzTick; waited <= defaultListWait; waited += fuzzTick {
		core.Tick(now.Add(waited))
	}
	g.Expect(core.Held()).To(gomega.Equal([]string{"e1"}))
}
