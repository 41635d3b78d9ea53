package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/placement"
)

var _ = Describe("an endpoint that names a limit", func() {
	const interval = 500 * time.Millisecond
	var (
		r        *placement.Registry
		endpoint *placement.Endpoint
	)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	named := func(d time.Duration) bool {
		_, named := endpoint.Limit(at(d))
		return named
	}

	BeforeEach(func() {
		r = registryOf(1)
		endpoint = r.Table().Endpoint("e0")
	})

	It("gets nothing until the limit is shared out, and then one request an interval", func() {
		Expect(endpoint.SetNamedLimit(start, start, 2, true)).To(BeTrue())
		Expect(endpoint.SetNamedLimit(start, start, 2, true)).To(BeFalse(), "nothing new")
		Expect(choose(r.Table(), at(time.Second), request(0))).To(BeEmpty())
		endpoint.SetLimitInterval(at(time.Second), interval)
		Expect(choose(r.Table(), at(time.Second), request(0))).To(BeEmpty(), "another instance may have sent one just now")
		Expect(choose(r.Table(), at(time.Second+interval), request(0))).To(Equal("e0"))
		Expect(choose(r.Table(), at(time.Second+interval), request(0))).To(BeEmpty())
		r.Table().End(at(2*time.Second), endpoint, placement.Answered, 1)
		Expect(choose(r.Table(), at(5*time.Second), request(0))).To(Equal("e0"))
		Expect(choose(r.Table(), at(5*time.Second), request(0))).To(BeEmpty(), "one request is saved up, not more")
	})

	It("ends the limit with an answer that names none, and passes over older reports of it", func() {
		endpoint.SetNamedLimit(start, start, 2, true)
		Expect(endpoint.SetNamedLimit(at(time.Second), at(time.Millisecond), 0, false)).To(BeTrue())
		Expect(named(time.Second)).To(BeFalse())
		r.ApplyReportedLimit(at(2*time.Second), "e0", endpoint.StartMillis, 2)
		Expect(named(2 * time.Second)).To(BeFalse())
		r.ApplyReportedLimit(at(7*time.Second), "e0", endpoint.StartMillis, 2)
		Expect(named(7 * time.Second)).To(BeTrue())
	})

	It("keeps the limit after an answer without it to a request from before the limit was heard", func() {
		endpoint.SetNamedLimit(at(time.Second), start, 2, true)
		Expect(endpoint.SetNamedLimit(at(2*time.Second), at(time.Second), 0, false)).To(BeFalse())
		Expect(named(2 * time.Second)).To(BeTrue())
		Expect(endpoint.SetNamedLimit(at(3*time.Second), at(time.Second+time.Millisecond), 0, false)).To(BeTrue())
		Expect(named(3 * time.Second)).To(BeFalse())
	})

	It("learns the limit from reports of the same run, for as long as they come", func() {
		r.ApplyReportedLimit(start, "e0", endpoint.StartMillis+1, 2)
		Expect(named(0)).To(BeFalse(), "of another run")
		r.ApplyReportedLimit(start, "e0", endpoint.StartMillis, 2)
		Expect(named(3 * time.Second)).To(BeTrue())
		Expect(named(5 * time.Second)).To(BeFalse())
		_, report := endpoint.LimitToReport(start)
		Expect(report).To(BeFalse(), "it did not hear the limit itself")
	})

	It("reports a limit that it heard for a time, and longer while it sends requests", func() {
		endpoint.SetNamedLimit(start, start, 2, true)
		reports := func(d time.Duration) bool {
			_, ok := endpoint.LimitToReport(at(d))
			return ok
		}
		Expect(reports(3 * time.Second)).To(BeTrue())
		Expect(reports(5 * time.Second)).To(BeFalse())
		endpoint.SetLimitInterval(start, interval)
		Expect(reports(5 * time.Second)).To(BeTrue())
		Expect(reports(11*time.Second)).To(BeFalse(), "the limit no longer counts")
	})

	It("keeps the limit when its entry is removed and comes back", func() {
		endpoint.SetNamedLimit(start, start, 2, true)
		r.Remove("e0")
		r.Register(at(time.Second), record("e0", "n1"), coldPolicy)
		endpoint = r.Table().Endpoint("e0")
		Expect(named(time.Second)).To(BeTrue())
		restarted := record("e0", "n1")
		restarted.StartMillis = 2
		r.Register(at(time.Second), restarted, coldPolicy)
		endpoint = r.Table().Endpoint("e0")
		Expect(named(time.Second)).To(BeFalse(), "another run has not named one")
	})

	It("counts as room only for what the limit leaves in use", func() {
		endpoint.SetNamedLimit(start, start, 2, true)
		Expect(r.Table().Capacity(start, "files", 500*time.Millisecond)).To(Equal(map[string]float64{"north": 1}))
		Expect(r.Table().Capacity(start, "files", time.Minute)).To(Equal(map[string]float64{"north": 4}))
	})

	It("is still used now and then at a limit of 0, so that its end is seen", func() {
		Expect(placement.LimitSenders(0)).To(Equal(1))
		Expect(placement.LimitInterval(0, 1)).To(Equal(10 * time.Second))
	})
})
