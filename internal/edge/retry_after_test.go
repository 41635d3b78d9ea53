package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/catalog"
	"lovagescale/internal/retryafter"
)

// Guards against a connection of the book to requests that loses its effect: a caller that
// returns in its promised time meets a higher utilization limit, a new request a lower one,
// and a request that another instance handed over none of this.
func TestReturningRequestsMeetAnotherLimit(t *testing.T) {
	g := NewWithT(t)
	const timeout, limit = 3 * time.Second, 1.3
	e, now := newServingEdge(), time.Now()
	request := func(left time.Duration) *request {
		return &request{route: &catalog.Route{Name: "act"}, upstream: "files", started: now, caller: CallerInfo{Timeout: left}}
	}
	first := request(timeout)
	g.Expect(e.returnTime(now, first, 0)).To(BeZero(), "nothing is known")
	for range 40 {
		e.observeReturn(now, first)
	}
	e.retrySchedule.SetCapacity(now, "files", retryafter.Capacity{Slots: 20, ServiceTime: 200 * time.Millisecond, Share: 1})
	wait := e.returnTime(now, first, 0)
	g.Expect(wait).To(BeNumerically(">=", minRetryAfter))
	g.Expect(wait).To(BeNumerically("<", timeout/3))
	g.Expect(e.returnTime(now, first, 2*time.Second)).To(BeNumerically(">", 2*time.Second), "the endpoints want no requests before")

	now = now.Add(wait)
	first.started = now
	g.Expect(e.limitForReturns(now, first, limit)).To(BeNumerically("<", limit))
	handedOver, returning := request(timeout-wait), request(timeout-wait)
	handedOver.handedOver = true
	e.observeReturn(now, handedOver)
	g.Expect(handedOver.promisedPlace).To(BeFalse())
	e.observeReturn(now, returning)
	g.Expect(returning.promisedPlace).To(BeTrue())
	g.Expect(e.limitForReturns(now, returning, limit)).To(BeNumerically(">", limit))
	g.Expect(e.limitForReturns(now, returning, 2.5)).To(Equal(2.5), "a limit above the bound stays")
	g.Expect(e.limitForReturns(now, first, limit)).To(Equal(limit), "the place is used")
	g.Expect(e.returnTime(now, returning, 0)).To(BeNumerically(">", (timeout-wait)/3), "a second return gets no place")
}
