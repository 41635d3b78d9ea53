package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/namedlimit"
	"lovagescale/internal/placement"
)

var _ = Describe("an endpoint that names a limit", func() {
	const interval = 500 * time.Millisecond
	var (
		r        *placement.Registry
		endpoint *placement.Endpoint
	)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	inForce := func(d time.Duration) bool {
		_, inForce := endpoint.Limit(at(d))
		return inForce
	}

	BeforeEach(func() {
		r = registryOf(1)
		endpoint = r.Table().Endpoint("e0")
	})

	It("gets nothing until the limit is shared out, and then one request an interval", func() {
		Expect(endpoint.HearLimit(start, 0, 2, true)).To(Equal(namedlimit.Began))
		Expect(endpoint.HearLimit(start, 0, 2, true)).To(Equal(namedlimit.Unchanged))
		Expect(choose(r.Table(), at(time.Second), request(0))).To(BeEmpty())
		endpoint.SetLimitInterval(at(time.Second), interval)
		Expect(choose(r.Table(), at(time.Second), request(0))).To(BeEmpty(), "another instance may have sent one just now")
		Expect(choose(r.Table(), at(time.Second+interval), request(0))).To(Equal("e0"))
		Expect(choose(r.Table(), at(time.Second+interval), request(0))).To(BeEmpty())
		r.Table().End(at(2*time.Second), endpoint, placement.Answered, 1)
		Expect(choose(r.Table(), at(5*time.Second), request(0))).To(Equal("e0"))
		Expect(choose(r.Table(), at(5*time.Second), request(0))).To(BeEmpty(), "one request is saved up, not more")
	})

	It("learns the limit and its end from news of the same run", func() {
		named, ended := namedlimit.News{PerSecond: 2, Named: 100}, namedlimit.News{Ended: 101}
		r.ApplyLimitNews(start, "e0", endpoint.StartMillis+1, named)
		Expect(inForce(0)).To(BeFalse(), "of another run")
		Expect(r.ApplyLimitNews(start, "e0", endpoint.StartMillis, named)).To(Equal(namedlimit.Began))
		Expect(inForce(time.Hour)).To(BeTrue())
		Expect(r.ApplyLimitNews(at(time.Hour), "e0", endpoint.StartMillis, ended)).To(Equal(namedlimit.Ended))
		Expect(inForce(time.Hour + time.Minute)).To(BeFalse())
	})

	It("keeps the limit when its entry is removed and comes back", func() {
		endpoint.HearLimit(start, 0, 2, true)
		r.Remove("e0")
		r.Register(at(time.Second), record("e0", "n1"), coldPolicy)
		endpoint = r.Table().Endpoint("e0")
		Expect(inForce(time.Second)).To(BeTrue())
		restarted := record("e0", "n1")
		restarted.StartMillis = 2
		r.Register(at(time.Second), restarted, coldPolicy)
		endpoint = r.Table().Endpoint("e0")
		Expect(inForce(time.Second)).To(BeFalse(), "another run has not named one")
	})

	It("counts as room only for what the limit leaves in use", func() {
		endpoint.HearLimit(start, 0, 2, true)
		Expect(r.Table().Capacity(start, "files", 500*time.Millisecond)).To(Equal(map[string]float64{"north": 1}))
		Expect(r.Table().Capacity(start, "files", time.Minute)).To(Equal(map[string]float64{"north": 4}))
	})
})
