package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/placement"
)

var _ = Describe("Expected completion", func() {
	expected := placement.Expectation{Warm: 300 * time.Millisecond, First: time.Second, Mean: 400 * time.Millisecond}
	objectRequest := func(random float64) placement.Request {
		r := request(7)
		r.Preferred, r.Random, r.Expected, r.TimeLeft = 2, random, expected, time.Second
		return r
	}
	// preferredOf returns the two preferred endpoints of the object.
	preferredOf := func(t *placement.Table) (a, b *placement.Endpoint) {
		setBusy(t, 3)
		var ends [2]*placement.Endpoint
		for i, random := range []float64{0, 0.5} {
			e, err := t.Choose(start, objectRequest(random))
			Expect(err).NotTo(HaveOccurred())
			t.End(start, e, placement.Answered, 1)
			ends[i] = e
		}
		Expect(ends[0]).NotTo(BeIdenticalTo(ends[1]))
		return ends[0], ends[1]
	}
	// shareOf returns the share of choosers with the same information that choose an endpoint.
	shareOf := func(choosers int, prepare func(a, b *placement.Endpoint)) float64 {
		random := rand.New(rand.NewPCG(3, 4))
		chosen := 0
		for range choosers {
			t := registryOf(20).Table()
			a, b := preferredOf(t)
			prepare(a, b)
			if choose(t, start, objectRequest(random.Float64())) == a.ID {
				chosen++
			}
		}
		return float64(chosen) / float64(choosers)
	}

	It("prefers the endpoint on the faster machine, and forgets the difference", func() {
		slow := func(at time.Time) func(a, b *placement.Endpoint) {
			return func(a, _ *placement.Endpoint) { a.SetPeerSpeed(at, 250) }
		}
		Expect(shareOf(50, slow(start))).To(BeZero())
		Expect(shareOf(50, slow(start.Add(-time.Second)))).To(BeNumerically("~", 0.5, 0.2))
	})

	// Instances that all chose the endpoint with one request less would overload it before the
	// next report.
	It("does not send the requests of all choosers to the same endpoint", func() {
		for _, choosers := range []int{33, 195} {
			share := shareOf(choosers, func(a, b *placement.Endpoint) { a.SetOthersInFlight(3); b.SetOthersInFlight(4) })
			Expect(share).To(BeNumerically(">", 0.6))
			Expect(share).To(BeNumerically("<", 0.97))
		}
	})

	It("refuses a request that would wait past its deadline, and only such a one", func() {
		t := registryOf(20).Table()
		a, b := preferredOf(t)
		late := objectRequest(0)
		late.MaxUtilization, late.TimeLeft = 9, 200*time.Millisecond
		Expect(choose(t, start, late)).NotTo(BeEmpty(), "a slot is free")
		for _, e := range t.Endpoints() {
			e.SetOthersInFlight(8)
		}
		_, err := t.Choose(start, late)
		Expect(err).To(HaveField("TooLate", true))
		late.TimeLeft = 2 * time.Second
		Expect(choose(t, start, late)).To(BeElementOf(a.ID, b.ID))
	})

	It("expects a request to wait only if all slots are taken", func() {
		e := registryOf(1).Table().Endpoint("e0")
		Expect(e.ExpectedCompletion(start, expected)).To(Equal(expected.Warm))
		e.SetOthersInFlight(4) // itself and three others
		Expect(e.ExpectedCompletion(start, expected)).To(Equal(expected.Warm))
		e.SetOthersInFlight(6)
		Expect(e.ExpectedCompletion(start, expected)).To(Equal(expected.Warm + 2*expected.Mean/4))
	})
})

var _ = Describe("RunTimes", func() {
	serving := placement.Serving{Upstream: "files", Region: "north"}
	idle := placement.ReportedLoad{Speed: 100}

	It("separates warm runs from first runs, with noise and a heavy tail", func() {
		t := placement.NewRunTimes()
		random := rand.New(rand.NewPCG(5, 6))
		wrong := 0
		for i := range 4000 {
			took, first := 330.0, i < 300 || random.Float64() < 0.05
			if first {
				took = 1100
			}
			tail := random.Float64() < 0.03
			if tail {
				took *= 7
			}
			load := idle
			if random.Float64() < 0.15 {
				load.Speed, took = 250, took*2.5
			}
			took *= 0.9 + 0.2*random.Float64()
			if t.Observe(serving, "r", time.Duration(took*float64(time.Millisecond)), load) != first && i > 400 && !tail {
				wrong++
			}
		}
		expected, known := t.Expect(serving, "r")
		Expect(known).To(BeTrue())
		Expect(expected.Warm).To(BeNumerically("~", 330*time.Millisecond, 30*time.Millisecond))
		Expect(expected.First).To(BeNumerically("~", 1100*time.Millisecond, 700*time.Millisecond))
		Expect(wrong).To(BeNumerically("<", 40))
	})

	It("finds no first runs on a route whose runs are alike", func() {
		t := placement.NewRunTimes()
		random := rand.New(rand.NewPCG(5, 6))
		for range 1000 {
			Expect(t.Observe(serving, "r", time.Duration(100+40*random.Float64())*time.Millisecond, idle)).To(BeFalse())
		}
	})

	It("does not learn from runs that may have waited", func() {
		t := placement.NewRunTimes()
		t.Observe(serving, "r", time.Second, placement.ReportedLoad{Waiting: 1})
		_, known := t.Expect(serving, "r")
		Expect(known).To(BeFalse())
	})
})
