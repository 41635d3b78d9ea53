package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/placement"
)

var _ = Describe("Reported load", func() {
	It("bounds implausible values and takes an implausible speed for unknown", func() {
		for _, c := range []struct{ stated, used placement.ReportedLoad }{
			{placement.ReportedLoad{Running: 4, Waiting: 2, Slots: 4, Speed: 250}, placement.ReportedLoad{Running: 4, Waiting: 2, Slots: 4, Speed: 250}},
			{placement.ReportedLoad{Running: -1, Waiting: 1 << 40}, placement.ReportedLoad{Waiting: 100_000}},
			{placement.ReportedLoad{Speed: 10_000}, placement.ReportedLoad{}},
			{placement.ReportedLoad{Speed: 24}, placement.ReportedLoad{}},
		} {
			used, err := c.stated.Bounded()
			Expect(used).To(Equal(c.used))
			if c.stated == c.used {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(BeAssignableToTypeOf(&placement.ImplausibleLoadError{}))
			}
		}
	})

	It("logs a faulty report once in a while", func() {
		e := registryOf(1).Table().Endpoint("e0")
		Expect(e.LogFault(start)).To(BeTrue())
		Expect(e.LogFault(start.Add(time.Second))).To(BeFalse())
		Expect(e.LogFault(start.Add(time.Minute))).To(BeTrue())
	})

	// An old report of a slow endpoint would keep requests away for good, since only its
	// answers show that it is fast again.
	It("lets a speed decay to the usual one", func() {
		e := registryOf(1).Table().Endpoint("e0")
		e.SetReportedLoad(start, placement.ReportedLoad{Speed: 250})
		Expect(e.SpeedFactor(start)).To(Equal(2.5))
		Expect(e.SpeedFactor(start.Add(300 * time.Millisecond))).To(BeNumerically("~", 1.75, 0.01))
		Expect(e.SpeedFactor(start.Add(time.Second))).To(Equal(1.0))
	})

	It("keeps the latest speed that any instance heard", func() {
		e := registryOf(1).Table().Endpoint("e0")
		e.SetReportedLoad(start, placement.ReportedLoad{Speed: 250})
		e.SetPeerSpeed(start.Add(-100*time.Millisecond), 100)
		Expect(e.SpeedFactor(start)).To(Equal(2.5))
		e.SetPeerSpeed(start.Add(100*time.Millisecond), 400)
		Expect(e.SpeedFactor(start.Add(100 * time.Millisecond))).To(Equal(4.0))
		_, _, ok := e.SpeedToReport(start.Add(100 * time.Millisecond))
		Expect(ok).To(BeFalse(), "what another instance told is not told again")
	})

	It("reports a recent speed that is not as usual", func() {
		e := registryOf(1).Table().Endpoint("e0")
		e.SetReportedLoad(start, placement.ReportedLoad{Speed: 110})
		_, _, ok := e.SpeedToReport(start)
		Expect(ok).To(BeFalse())
		e.SetReportedLoad(start, placement.ReportedLoad{Speed: 250})
		speed, age, ok := e.SpeedToReport(start.Add(200 * time.Millisecond))
		Expect(ok).To(BeTrue())
		Expect(speed).To(Equal(250))
		Expect(age).To(Equal(200 * time.Millisecond))
		_, _, ok = e.SpeedToReport(start.Add(time.Second))
		Expect(ok).To(BeFalse())
	})

	It("does not use a speed that never changes", func() {
		e := registryOf(1).Table().Endpoint("e0")
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
			e.SetReportedLoad(at, placement.ReportedLoad{Speed: 1900})
		}
		used := e.SetReportedLoad(start.Add(10*time.Second), placement.ReportedLoad{Speed: 1900})
		Expect(used.Speed).To(BeZero(), "run times must not be divided by it")
		Expect(e.SpeedFactor(start.Add(10 * time.Second))).To(Equal(1.0))
	})
})
