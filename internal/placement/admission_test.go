package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/placement"
)

var _ = Describe("LimitsFor", func() {
	const ms = time.Millisecond
	profile := func(objective, timeout, run, mean time.Duration) placement.RequestProfile {
		return placement.RequestProfile{Objective: objective, Timeout: timeout, TimeLeft: timeout, Run: run, MeanRun: mean}
	}

	DescribeTable("accepts the queue that is best for the caller", func(p placement.RequestProfile, usual, sustained float64) {
		limits := placement.LimitsFor(p)
		Expect(limits.Usual).To(BeNumerically("~", usual, 0.01))
		Expect(limits.Sustained).To(BeNumerically("~", sustained, 0.01))
	},
		// Guards against a refusal of requests that can be answered shortly after their objective.
		Entry("objective just above the run", profile(100*ms, 1200*ms, 80*ms, 80*ms), 2.5, 1.25),
		Entry("objective below the run", profile(50*ms, 1200*ms, 80*ms, 80*ms), 2.5, 1.05),
		Entry("long objective", profile(260*ms, 3000*ms, 80*ms, 80*ms), 3.25, 2.5),
		// Guards against queues beyond what endpoints take.
		Entry("objective of many runs", profile(4000*ms, 9000*ms, 80*ms, 80*ms), 4.0, 2.5),
		// Guards against runs that end after the caller has left.
		Entry("short deadline", profile(400*ms, 400*ms, 160*ms, 160*ms), 1.25, 1.25),
		Entry("hardly any time", profile(400*ms, 200*ms, 160*ms, 160*ms), 1.05, 1.05),
		Entry("no objective", profile(0, 2000*ms, 100*ms, 100*ms), 2.5, 1.05),
		Entry("before the first run", profile(400*ms, 2000*ms, 0, 0), 4.0, 2.5),
	)

	// Guards against requests that hold a slot until their deadline and get no answer, because
	// they are mostly the first ones for their object and queue like others.
	DescribeTable("accepts no queue behind which the usual slot time does not end in time",
		func(slotTime time.Duration, usual float64) {
			p := profile(1500*ms, 2500*ms, 640*ms, 800*ms)
			p.SlotTime = slotTime
			Expect(placement.LimitsFor(p).Usual).To(BeNumerically("~", usual, 0.01))
		},
		Entry("as others", time.Duration(0), 1.76),
		Entry("warm runs", 700*ms, 1.76),
		Entry("first runs", 2100*ms, 1.19),
		Entry("first runs that hardly end in time", 2400*ms, 1.05),
	)

	// Guards against a queue that lets all answers be late for as long as an overload lasts.
	It("lowers the limit at an endpoint that had no free slot for a third of the timeout", func() {
		t := registryOf(1).Table()
		e := t.Endpoint("e0")
		r := request(1)
		limits := placement.LimitsFor(profile(100*ms, 1200*ms, 80*ms, 80*ms))
		r.MaxUtilization, r.SustainedUtilization, r.SustainedAfter = limits.Usual, limits.Sustained, limits.SustainedAfter
		Expect(choose(t, start, r)).To(Equal("e0"))
		e.SetOthersInFlight(7)
		Expect(choose(t, start.Add(10*ms), r)).To(Equal("e0"), "the queue is a passing one")
		_, err := t.Choose(start.Add(500*ms), r)
		Expect(err).To(HaveField("MaxUtilization", limits.Sustained))
		for range 100 {
			e.SetOthersInFlight(0)
		}
		Expect(choose(t, start.Add(510*ms), r)).To(Equal("e0"), "a slot is free")
		e.SetOthersInFlight(6)
		Expect(choose(t, start.Add(520*ms), r)).To(Equal("e0"))
	})
})
