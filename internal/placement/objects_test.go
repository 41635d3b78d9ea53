package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/placement"
)

var serving = placement.Serving{Upstream: "files", Region: "north"}

// recordObjects records requests for random ones of n objects.
func recordObjects(o *placement.Objects, random *rand.Rand, n, requests int) {
	for range requests {
		o.Record(serving, placement.AffinityKey("files", "r", fmt.Sprint(random.IntN(n))))
	}
}

// setBusy sets the requests of other instances at each endpoint, which has four slots.
func setBusy(t *placement.Table, inFlight int) {
	for _, e := range t.Endpoints() {
		e.SetOthersInFlight(inFlight)
	}
}

// updateUntil updates the number of preferred endpoints for some seconds.
func updateUntil(o *placement.Objects, from, to time.Time, objects float64, endpoints int) (changes int) {
	for now := from; now.Before(to); now = now.Add(250 * time.Millisecond) {
		if o.Update(now, serving, objects, endpoints, true) != nil {
			changes++
		}
	}
	return changes
}

var _ = Describe("Objects", func() {
	// Guards against first runs that a second endpoint costs where it gains nothing: endpoints
	// that are all alike.
	It("have one preferred endpoint unless endpoints report unusual speeds", func() {
		o := placement.NewObjects()
		update := func(from time.Time, uneven bool) {
			for now := from; now.Before(from.Add(2 * time.Minute)); now = now.Add(time.Second) {
				o.Update(now, serving, 20, 10, uneven)
			}
		}
		update(start, false)
		Expect(o.Preferred(serving)).To(Equal(1))
		update(start.Add(2*time.Minute), true)
		Expect(o.Preferred(serving)).To(Equal(2))
		update(start.Add(4*time.Minute), false)
		Expect(o.Preferred(serving)).To(Equal(1))
	})

	random := rand.New(rand.NewPCG(1, 2))

	It("estimates the number of objects although each instance sees a part of the requests", func() {
		for _, n := range []int{39, 151, 309, 2000} {
			o := placement.NewObjects()
			recordObjects(o, random, n, 2*n)
			Expect(o.Estimates()[serving]).To(BeNumerically("~", n, 0.15*float64(n)))
		}
	})

	It("reports no estimate from few requests or of objects that hardly repeat", func() {
		o := placement.NewObjects()
		recordObjects(o, random, 10, 20)
		Expect(o.Estimates()).To(BeEmpty())
		recordObjects(o, random, 100000, 3000)
		Expect(o.Estimates()).To(BeEmpty())
	})

	It("forgets objects after two windows", func() {
		o := placement.NewObjects()
		o.Tick(start)
		recordObjects(o, random, 300, 2000)
		for i := range 3 {
			o.Tick(start.Add(time.Duration(i+1) * 31 * time.Second))
		}
		recordObjects(o, random, 20, 100)
		Expect(o.Estimates()[serving]).To(BeNumerically("~", 20, 2))
	})

	It("prefers one endpoint before any estimate and where endpoints hold many objects", func() {
		o := placement.NewObjects()
		Expect(o.Preferred(serving)).To(Equal(1))
		Expect(updateUntil(o, start, start.Add(time.Minute), 0, 10)).To(BeZero())
		Expect(updateUntil(o, start, start.Add(time.Minute), 80, 10)).To(BeZero())
		Expect(o.Preferred(serving)).To(Equal(1))
		updateUntil(o, start, start.Add(time.Minute), 45, 10)
		Expect(o.Preferred(serving)).To(Equal(2))
		updateUntil(o, start, start.Add(time.Minute), 1, 1)
		Expect(o.Preferred(serving)).To(Equal(1), "a region with one endpoint has no second one")
	})

	It("does not change the number with estimates that vary around a limit or for a moment", func() {
		o := placement.NewObjects()
		Expect(updateUntil(o, start, start.Add(time.Minute), 45, 10)).To(Equal(1))
		for i := range 100 {
			at := start.Add(time.Duration(60+i) * time.Second)
			Expect(updateUntil(o, at, at.Add(time.Second), 45+24*random.Float64(), 10)).To(BeZero())
		}
		at := start.Add(time.Hour)
		Expect(updateUntil(o, at, at.Add(4*time.Second), 500, 10)).To(BeZero())
		Expect(updateUntil(o, at.Add(4*time.Second), at.Add(time.Hour), 45, 10)).To(BeZero())
	})
})

var _ = Describe("Choose with several preferred endpoints", func() {
	objectRequest := func(object uint64, k int, random float64) placement.Request {
		r := request(object)
		r.Preferred, r.Random = k, random
		return r
	}
	// takersOf returns the endpoints that take requests for an object.
	takersOf := func(t *placement.Table, object uint64, k int) map[string]bool {
		seen := map[string]bool{}
		for i := range 40 {
			e, err := t.Choose(start, objectRequest(object, k, float64(i)/40))
			Expect(err).NotTo(HaveOccurred())
			t.End(start, e, placement.Answered, 1)
			seen[e.ID] = true
		}
		return seen
	}
	// preferredOf returns the endpoints that take requests for an object while all are busy.
	preferredOf := func(t *placement.Table, object uint64, k int) map[string]bool {
		setBusy(t, 3)
		defer setBusy(t, 0)
		return takersOf(t, object, k)
	}

	// A second endpoint costs a first run for each object, which gains nothing while the
	// first one has free slots.
	It("uses one endpoint while it is not busy", func() {
		t := registryOf(20).Table()
		for object := uint64(1); object <= 50; object++ {
			Expect(takersOf(t, object, 2)).To(Equal(preferredOf(t, object, 1)))
		}
	})

	It("uses exactly k endpoints, and those of a smaller k among them", func() {
		t := registryOf(20).Table()
		for object := uint64(1); object <= 50; object++ {
			one, two, three := preferredOf(t, object, 1), preferredOf(t, object, 2), preferredOf(t, object, 3)
			Expect(one).To(HaveLen(1))
			Expect(two).To(HaveLen(2))
			Expect(three).To(HaveLen(3))
			for id := range one {
				Expect(two).To(HaveKey(id))
			}
			for id := range two {
				Expect(three).To(HaveKey(id))
			}
		}
	})

	It("prefers the less loaded one, and the other one if it alone has room", func() {
		t := registryOf(20).Table()
		var ids []string
		for id := range preferredOf(t, 7, 2) {
			ids = append(ids, id)
		}
		t.Endpoint(ids[0]).SetOthersInFlight(3)
		for i := range 20 {
			Expect(choose(t, start, objectRequest(7, 2, float64(i)/20))).To(Equal(ids[1]))
			t.End(start, t.Endpoint(ids[1]), placement.Answered, 1)
		}
	})

	// Broken before: the endpoint with the next rank would take the place of one that is
	// paused for a moment, and every object of it would be run there for the first time.
	It("does not replace a preferred endpoint that is paused while another one is usable", func() {
		t := registryOf(20).Table()
		for object := uint64(1); object <= 20; object++ {
			two := preferredOf(t, object, 2)
			for id := range two {
				t.Endpoint(id).Pause(start.Add(time.Second))
				Expect(preferredOf(t, object, 2)).To(HaveLen(1))
				t = registryOf(20).Table()
			}
		}
	})

	It("retries at the other preferred endpoint", func() {
		t := registryOf(20).Table()
		two := preferredOf(t, 7, 2)
		first, err := t.Choose(start, objectRequest(7, 2, 0))
		Expect(err).NotTo(HaveOccurred())
		retry := objectRequest(7, 2, 0)
		retry.Tried = []*placement.Endpoint{first}
		delete(two, first.ID)
		Expect(two).To(HaveKey(choose(t, start, retry)))
	})
})

func benchmarkChoose(b *testing.B, preferred int) {
	t := registryOf(216).Table()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := request(uint64(i%309 + 1))
		r.Preferred, r.Random, r.TimeLeft = preferred, float64(i%100)/100, time.Second
		r.Expected = placement.Expectation{Warm: 300 * time.Millisecond, First: time.Second, Mean: 400 * time.Millisecond}
		e, err := t.Choose(start, r)
		if err != nil {
			b.Fatal(err)
		}
		t.End(start, e, placement.Answered, 1)
	}
}

// BenchmarkChoose chooses among 216 endpoints, the most that an upstream has.
func BenchmarkChoose(b *testing.B)          { benchmarkChoose(b, 1) }
func BenchmarkChoosePreferred(b *testing.B) { benchmarkChoose(b, 2) }
