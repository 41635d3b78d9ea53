package trafficstats_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
	"lovagescale/internal/trafficstats"
)

func TestTrafficStats(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trafficstats")
}

var _ = Describe("Stats", func() {
	const answer = 400 * time.Millisecond
	var stats *trafficstats.Stats

	BeforeEach(func() { stats = trafficstats.New() })

	answers := func(n int, took time.Duration) {
		for range n {
			stats.RecordAnswer("files", "read", "north", true, took)
		}
	}

	It("assumes a service time until there are answers, of this instance or reported ones", func() {
		assumed := stats.ServiceTime("files")
		Expect(assumed).To(BeNumerically(">", 0))
		Expect(stats.ResponseTime("files", "read", "north")).To(Equal(assumed))
		stats.UpdateServiceTimes(map[string]fleet.UpstreamAnswers{"files": {Rate: 10, Busy: 4}})
		Expect(stats.ServiceTime("files")).To(BeNumerically("~", answer, time.Millisecond))
		Expect(stats.ServiceTime("other")).To(Equal(assumed))
	})

	It("compares an answer with the usual time of its route and region", func() {
		Expect(stats.RecordAnswer("files", "read", "north", true, answer)).To(Equal(1.0))
		Expect(stats.RecordAnswer("files", "read", "north", true, 3*answer)).To(BeNumerically("~", 3, 0.01))
		Expect(stats.RecordAnswer("files", "read", "south", false, 3*answer)).To(Equal(1.0))
		Expect(stats.ResponseTime("files", "read", "south")).To(Equal(3 * answer))
	})

	It("counts answers of the own region only in the service time", func() {
		answers(100, answer)
		for range 100 {
			stats.RecordAnswer("files", "read", "south", false, 10*answer)
		}
		stats.Tick(time.Second)
		stats.UpdateServiceTimes(nil)
		Expect(stats.ServiceTime("files")).To(BeNumerically("~", answer, time.Millisecond))
	})

	// Guards against a region that seems to have room although requests that must run there
	// occupy its slots: they often take several times as long, and some get no answer.
	It("counts requests that must run in a region by the slots that they occupy", func() {
		answers(100, answer)
		stats.Tick(time.Second)
		stats.UpdateServiceTimes(nil)
		rateOf := func(region string) float32 {
			for _, d := range stats.UpstreamDemand() {
				if d.Region == region {
					return d.Rate
				}
			}
			return 0
		}
		for range 100 {
			stats.RecordArrival("files", "")
			stats.RecordArrival("files", "south")
		}
		stats.Tick(time.Second)
		Expect(rateOf("south")).To(BeNumerically("~", rateOf(""), 0.01), "nothing is known of their slot time")
		Expect(stats.PinnedSlotTime("files", "south")).To(BeZero())
		for range 200 {
			stats.RecordSlotTime("files", "south", 3*answer)
		}
		Expect(rateOf("south")).To(BeNumerically("~", 3*rateOf(""), 0.05*rateOf("")))
		Expect(stats.PinnedSlotTime("files", "south")).To(BeNumerically("~", 3*answer, time.Millisecond))
	})

	It("reports demand by the region in which requests must run, and no negligible rates", func() {
		for range 100 {
			stats.RecordArrival("files", "")
			stats.RecordArrival("files", "south")
		}
		stats.Tick(time.Second)
		demand := stats.UpstreamDemand()
		Expect(demand).To(HaveLen(2))
		for _, d := range demand {
			Expect(d.Upstream).To(Equal("files"))
			Expect(d.Rate).To(BeNumerically(">", fleet.MinReportedRate))
		}
		for range 1000 {
			stats.Tick(time.Second)
		}
		Expect(stats.UpstreamDemand()).To(BeEmpty())
	})
})
