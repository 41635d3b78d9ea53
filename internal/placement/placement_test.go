package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.UnixMilli(1_000_000)

var zoneRegions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}

func record(id, zone string) placement.Record {
	return placement.Record{ID: id, StartMillis: 1, Upstream: "files", Address: "127.0.0.1:1", Zone: zone, Slots: 4}
}

func newRegistry() *placement.Registry {
	return placement.NewRegistry(zoneRegions, func(r placement.Record) *upstream.Pool { return upstream.NewPool(r.Address, 1, 1) })
}

var coldPolicy = placement.ColdPolicy{Duration: 3 * time.Second, Interval: 500 * time.Millisecond}

// registryOf returns a registry with n endpoints in zone n1.
func registryOf(n int) *placement.Registry {
	r := newRegistry()
	for i := range n {
		r.Register(start, record(fmt.Sprint("e", i), "n1"), coldPolicy)
	}
	return r
}

func request(affinityKey uint64) placement.Request {
	return placement.Request{Upstream: "files", Region: "north", Local: true, AffinityKey: affinityKey, MaxUtilization: 1.5}
}

// choose returns the identifier of the chosen endpoint, or "" if none has room.
func choose(t *placement.Table, now time.Time, request placement.Request) string {
	e, err := t.Choose(now, request)
	if err != nil {
		return ""
	}
	return e.ID
}

var _ = Describe("Registry", func() {
	It("excludes draining endpoints, evacuated zones and removed endpoints", func() {
		r := registryOf(1)
		r.Register(start, record("far", "n2"), coldPolicy)
		Expect(r.Table().Capacity(start, "files", time.Second)).To(Equal(map[string]float64{"north": 8}))
		r.Evacuate("n2")
		Expect(r.Table().Capacity(start, "files", time.Second)).To(Equal(map[string]float64{"north": 4}))
		draining := record("e0", "n1")
		draining.Draining = true
		draining.Sequence = 1
		r.Register(start, draining, coldPolicy)
		Expect(choose(r.Table(), start, request(0))).To(BeEmpty())
		r.Remove("far")
		Expect(r.Table().Endpoint("far")).To(BeNil())
	})

	It("ignores a record that was written before a known one", func() {
		r := newRegistry()
		draining := record("e", "n1")
		draining.Draining = true
		draining.Sequence = 5
		older := record("e", "n1")
		older.Sequence = 4
		Expect(r.Register(start, draining, coldPolicy)).To(BeTrue())
		Expect(r.Register(start, older, coldPolicy)).To(BeFalse())
		Expect(choose(r.Table(), start, request(0))).To(BeEmpty())
		r.Remove("e")
		Expect(r.Register(start, older, coldPolicy)).To(BeFalse())
		restarted := record("e", "n1")
		restarted.StartMillis = 2
		Expect(r.Register(start, restarted, coldPolicy)).To(BeTrue())
		Expect(choose(r.Table(), start, request(0))).To(Equal("e"))
	})

	It("replaces an endpoint that was restarted", func() {
		r := registryOf(1)
		first := r.Table().Endpoint("e0")
		restarted := record("e0", "n1")
		restarted.StartMillis = 2
		r.Register(start, restarted, coldPolicy)
		Expect(r.Table().Endpoint("e0")).NotTo(BeIdenticalTo(first))
	})

	It("treats the endpoints of a restored zone as cold", func() {
		r := registryOf(1)
		r.Evacuate("n1")
		r.Restore(start, "n1", func(*placement.Endpoint) placement.ColdPolicy { return coldPolicy })
		Expect(choose(r.Table(), start, request(0))).To(BeEmpty())
		Expect(choose(r.Table(), start.Add(coldPolicy.Interval), request(0))).To(Equal("e0"))
		Expect(choose(r.Table(), start.Add(coldPolicy.Interval), request(0))).To(BeEmpty())
		r.Table().End(start.Add(coldPolicy.Interval), r.Table().Endpoint("e0"), placement.Answered, 1)
		Expect(choose(r.Table(), start.Add(coldPolicy.Duration+time.Millisecond), request(0))).To(Equal("e0"))
	})

	It("uses cold endpoints for requests of their own region only", func() {
		r := newRegistry()
		warmingUp := record("e", "n1")
		warmingUp.ColdLeft = coldPolicy.Duration
		r.Register(start, warmingUp, coldPolicy)
		remoteRequest := request(0)
		remoteRequest.Local = false
		Expect(choose(r.Table(), start.Add(time.Second), remoteRequest)).To(BeEmpty())
		Expect(choose(r.Table(), start.Add(time.Second), request(0))).To(Equal("e"))
	})
})

var _ = Describe("Choose", func() {
	It("sends each object to one endpoint and spreads objects over all endpoints", func() {
		t := registryOf(8).Table()
		seen := map[string]int{}
		for object := uint64(1); object <= 200; object++ {
			e, err := t.Choose(start, request(object))
			Expect(err).NotTo(HaveOccurred())
			t.End(start, e, placement.Answered, 1)
			Expect(choose(t, start, request(object))).To(Equal(e.ID))
			t.End(start, e, placement.Answered, 1)
			seen[e.ID]++
		}
		Expect(seen).To(HaveLen(8))
	})

	It("moves only the objects of an endpoint that is removed", func() {
		r := registryOf(8)
		before := map[uint64]string{}
		for object := uint64(1); object <= 200; object++ {
			e, err := r.Table().Choose(start, request(object))
			Expect(err).NotTo(HaveOccurred())
			before[object] = e.ID
			r.Table().End(start, e, placement.Answered, 1)
		}
		r.Remove("e3")
		for object, id := range before {
			e, err := r.Table().Choose(start, request(object))
			Expect(err).NotTo(HaveOccurred())
			r.Table().End(start, e, placement.Answered, 1)
			if id != "e3" {
				Expect(e.ID).To(Equal(id))
			}
		}
	})

	// Load pattern: long overload with one hot object.
	// Guards against refusals of requests that take no longer elsewhere, while the region has
	// free slots.
	It("lets requests that mostly are first runs spill until the region is fuller", func() {
		t := registryOf(4).Table()
		r := request(7)
		r.FirstRunLikely = true
		taken := 0
		for choose(t, start, r) != "" {
			taken++
		}
		Expect(float64(taken) / (4 * 4)).To(BeNumerically("~", 0.8, 0.05))
	})

	It("queues at the preferred endpoint, then spills while the region has free slots, then refuses", func() {
		t := registryOf(4).Table()
		counts := map[string]int{}
		for {
			id := choose(t, start, request(7))
			if id == "" {
				break
			}
			counts[id]++
		}
		loads := []int{counts["e0"], counts["e1"], counts["e2"], counts["e3"]}
		Expect(loads).To(ConsistOf(6, 3, 1, 0), "utilization of 1.5 at the preferred endpoint and 0.75 at others, until that of the region is 0.6")
		_, err := t.Choose(start, request(7))
		var noRoom *placement.NoRoomError
		Expect(err).To(BeAssignableToTypeOf(noRoom))
	})

	// Load pattern: burst over all endpoints.
	It("keeps requests at their preferred endpoints while the region is busy", func() {
		t := registryOf(4).Table()
		for i := range 4 {
			t.Endpoint(fmt.Sprint("e", i)).SetOthersInFlight(2)
		}
		preferred := choose(t, start, request(7))
		for n := 3; n < 6; n++ {
			Expect(choose(t, start, request(7))).To(Equal(preferred))
		}
		Expect(choose(t, start, request(7))).To(BeEmpty(), "the other endpoints' utilization is 0.5, that of the region 0.75")
	})

	It("counts in-flight requests of other instances as reported by them or by the endpoint", func() {
		t := registryOf(1).Table()
		t.Endpoint("e0").SetOthersInFlight(6)
		Expect(choose(t, start, request(1))).To(BeEmpty())
		t = registryOf(1).Table()
		t.Endpoint("e0").SetReportedLoad(start, placement.ReportedLoad{Running: 4, Waiting: 2})
		Expect(choose(t, start, request(1))).To(BeEmpty())
		Expect(choose(t, start.Add(time.Second), request(1))).To(Equal("e0"))
	})

	It("does not fill slots that other instances free only for a moment", func() {
		t := registryOf(1).Table()
		e := t.Endpoint("e0")
		for range 40 {
			e.SetOthersInFlight(6)
		}
		e.SetOthersInFlight(0)
		Expect(choose(t, start, request(1))).To(Equal("e0"))
		Expect(choose(t, start, request(1))).To(BeEmpty())
	})

	// Load pattern: a few endpoints refuse half of their requests.
	It("ejects an endpoint that fails often while others do not", func() {
		t := registryOf(4).Table()
		preferred := choose(t, start, request(9))
		t.End(start, t.Endpoint(preferred), placement.Full, 0)
		for range 8 {
			e, err := t.Choose(start, request(9))
			Expect(err).NotTo(HaveOccurred())
			t.End(start, e, placement.Full, 0)
			if e.ID != preferred {
				return
			}
		}
		Fail("requests for the object still go to an endpoint that refuses all of them")
	})

	// Guards against a request that is lost at the healthy endpoint and finds no other one,
	// although one that is only ejected would take it.
	It("sends a request to an ejected endpoint if it was sent to all healthy ones", func() {
		table := registryOf(2).Table()
		slow, healthy := table.Endpoint("e0"), table.Endpoint("e1")
		for range 10 {
			table.End(start, slow, placement.Answered, 20)
		}
		for key := range uint64(20) {
			Expect(choose(table, start, request(key))).To(Equal("e1"), "e0 is ejected")
			table.End(start, healthy, placement.Answered, 1)
		}
		again := request(1)
		again.Tried = []*placement.Endpoint{healthy}
		Expect(choose(table, start, again)).To(Equal("e0"))
	})

	// Load pattern: endpoints refuse half of their requests. An ejected one would leave its
	// objects to endpoints that have not run them.
	It("keeps using an endpoint that runs half of its requests", func() {
		t := registryOf(4).Table()
		preferred := choose(t, start, request(9))
		t.End(start, t.Endpoint(preferred), placement.Full, 0)
		for i := range 40 {
			e, err := t.Choose(start, request(9))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.ID).To(Equal(preferred))
			result := placement.Full
			if i%2 == 0 {
				result = placement.Answered
			}
			t.End(start, e, result, 1)
		}
	})

	// Load pattern: all endpoints refuse half of their requests.
	It("keeps requests at their preferred endpoints when all endpoints fail alike", func() {
		t := registryOf(4).Table()
		for i := range 4 {
			e := t.Endpoint(fmt.Sprint("e", i))
			for range 12 {
				chosen, err := t.Choose(start, placement.Request{Upstream: "files", Region: "north", Local: true, MaxUtilization: 99, Tried: allExcept(t, e)})
				if err != nil {
					break // the endpoint was ejected
				}
				t.End(start, chosen, placement.Full, 0)
			}
		}
		first := choose(t, start, request(3))
		Expect(choose(t, start, request(3))).To(Equal(first))
		Expect(choose(t, start, request(3))).To(Equal(first))
	})

	// Load pattern: endpoints stop answering.
	It("sends no requests to an unresponsive endpoint until its ejection ends", func() {
		t := registryOf(1).Table()
		Expect(choose(t, start, request(1))).To(Equal("e0"))
		later := start.Add(2 * time.Second)
		Expect(choose(t, later, request(1))).To(BeEmpty())
		t.End(later, t.Endpoint("e0"), placement.Expired, 0)
		Expect(choose(t, later, request(1))).To(BeEmpty())
		Expect(choose(t, later.Add(4*time.Second), request(1))).To(Equal("e0"))
	})

	// Load pattern: a fifth of the endpoints is slow.
	It("ejects a slow endpoint while others have room", func() {
		t := registryOf(2).Table()
		preferred := choose(t, start, request(5))
		t.End(start, t.Endpoint(preferred), placement.Answered, 20)
		for range 10 {
			id := choose(t, start, request(5))
			t.End(start, t.Endpoint(id), placement.Answered, map[bool]float64{true: 20, false: 1}[id == preferred])
		}
		Expect(choose(t, start, request(5))).NotTo(Equal(preferred))
	})
})

// allExcept returns all endpoints but the excluded one.
func allExcept(t *placement.Table, excluded *placement.Endpoint) []*placement.Endpoint {
	var rest []*placement.Endpoint
	for _, e := range t.Endpoints() {
		if e != excluded {
			rest = append(rest, e)
		}
	}
	return rest
}

// TestFuzzColdRate lets the instances of a region choose one cold endpoint at random
// times. In any second they may send it at most its rate plus one request per instance.
func TestFuzzColdRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate = 15.0
		n := rapid.IntRange(1, 8).Draw(rt, "instances")
		interval := time.Duration(float64(time.Second) * float64(n) / rate)
		var tables []*placement.Table
		for range n {
			r := newRegistry()
			coldRecord := record("e", "n1")
			coldRecord.ColdLeft = time.Hour
			r.Register(start, coldRecord, placement.ColdPolicy{Interval: interval})
			tables = append(tables, r.Table())
		}
		var sentAt []time.Time
		now := start
		for range rapid.IntRange(10, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, n-1).Draw(rt, "instance")]
			if e, err := table.Choose(now, request(0)); err == nil {
				sentAt = append(sentAt, now)
				table.End(now, e, placement.Answered, 1)
			}
		}
		for i, at := range sentAt {
			requests := 0
			for _, later := range sentAt[i:] {
				if later.Sub(at) < time.Second {
					requests++
				}
			}
			if requests > int(rate)+n {
				rt.Fatalf("%d requests within a second, the rate is %.0f for %d instances", requests, rate, n)
			}
		}
	})
}

var _ = Describe("Plan", func() {
	capacity := map[string]float64{"north": 18, "south": 72, "east": 90}

	It("keeps requests in their region while the region has room", func() {
		Expect(placement.Plan("south", map[string]float64{"north": 10, "south": 20, "east": 20}, capacity)["south"]).To(BeNumerically("~", 1, 1e-9))
	})

	// Load pattern: demand is spread evenly over regions, slots are not.
	It("sends the excess demand to the regions with room", func() {
		plan := placement.Plan("north", map[string]float64{"north": 24, "south": 24, "east": 24}, capacity)
		Expect(plan["north"]).To(BeNumerically("~", 0.65*18/24, 0.01))
		Expect(plan["east"]).To(BeNumerically(">", plan["south"]))
		Expect(plan["north"] + plan["south"] + plan["east"]).To(BeNumerically("~", 1, 1e-9))
	})

	// Load pattern: the only allowed region of a workspace is the one with the fewest slots.
	It("reserves slots for requests that must run in the region", func() {
		available := placement.AvailableCapacity(capacity, map[string]float64{"north": 9})
		plan := placement.Plan("north", map[string]float64{"north": 10, "south": 10, "east": 10}, available)
		Expect(plan["north"]).To(BeNumerically("<", 0.4))
	})

	// Load pattern: long overload.
	It("spreads an overload over all regions", func() {
		plan := placement.Plan("north", map[string]float64{"north": 100, "south": 100, "east": 100}, capacity)
		Expect(plan["north"]).To(BeNumerically("~", 0.3, 0.01))
	})

	// Load pattern: a region is lost.
	It("moves all requests at once away from a region without slots", func() {
		plan := placement.Plan("north", map[string]float64{"north": 10}, map[string]float64{"south": 72, "east": 18})
		Expect(plan["north"]).To(BeZero())
		Expect(plan["south"]).To(BeNumerically("~", 0.8, 1e-9))
		Expect(plan["east"]).To(BeNumerically("~", 0.2, 1e-9))
	})
})

var _ = Describe("RegionBalancer", func() {
	It("keeps the region of an affinity key while the shares allow it", func() {
		balancer := placement.NewRegionBalancer("north")
		capacity := map[string]float64{"north": 1, "south": 1}
		balancer.MoveToward("files", map[string]float64{"north": 0.6, "south": 0.4}, capacity, 1)
		before := map[uint64]string{}
		for object := uint64(1); object <= 400; object++ {
			before[object] = balancer.Next("files", object, nil, false)
		}
		balancer.MoveToward("files", map[string]float64{"north": 0.5, "south": 0.5}, capacity, 1)
		totalMoved := 0
		for object, region := range before {
			after := balancer.Next("files", object, nil, false)
			if after != region {
				Expect(region).To(Equal("north"))
				totalMoved++
			}
		}
		Expect(totalMoved).To(BeNumerically("~", 40, 25))
	})

	It("sends restricted requests to their allowed regions", func() {
		balancer := placement.NewRegionBalancer("north")
		Expect(balancer.Next("files", 1, []string{"south"}, true)).To(Equal("south"))
		Expect(balancer.Next("files", 1, []string{"south", "north"}, true)).To(Equal("north"))
		Expect(balancer.Next("files", 1, nil, true)).To(BeEmpty())
	})

	It("distributes requests without an affinity key by the shares", func() {
		balancer := placement.NewRegionBalancer("north")
		balancer.MoveToward("files", map[string]float64{"north": 0.75, "south": 0.25}, map[string]float64{"north": 1, "south": 1}, 1)
		requests := map[string]int{}
		for range 40 {
			requests[balancer.Next("files", 0, nil, false)]++
		}
		Expect(requests).To(Equal(map[string]int{"north": 30, "south": 10}))
	})
})

// TestFuzzSharesMoveSlowly moves shares towards random plans. As long as all regions keep
// their capacity, no move may exceed its step, and the shares must add up to 1.
func TestFuzzSharesMoveSlowly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := map[string]float64{"north": 1, "south": 1, "east": 1}
		var shares placement.Shares
		shares.MoveToward(map[string]float64{"north": 1, "south": 0, "east": 0}, capacity, 1)
		for range rapid.IntRange(1, 60).Draw(rt, "moves") {
			before := shares.Weights()
			a, b := rapid.Float64Range(0, 1).Draw(rt, "a"), rapid.Float64Range(0, 1).Draw(rt, "b")
			plan := map[string]float64{"north": a, "south": (1 - a) * b, "east": (1 - a) * (1 - b)}
			const step = 0.05
			shares.MoveToward(plan, capacity, step)
			totalMoved, sum := 0.0, 0.0
			for i, w := range shares.Weights() {
				totalMoved += math.Max(w.Weight-before[i].Weight, 0)
				sum += w.Weight
			}
			if totalMoved > step+1e-9 || math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("moved %.4f of a step of %.2f, the shares add up to %.4f", totalMoved, step, sum)
			}
		}
	})
}
