package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/catalog"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
)

// Guards against requests that an instance passes on in its planned stop although they may be
// cut at its end (LOST), and against refusing those that end in time.
func TestLateRequestsAreRefusedIfTheyMayBeCut(t *testing.T) {
	const run, timeout = 500 * time.Millisecond, 3 * time.Second
	cases := []struct {
		name      string
		kind      catalog.Kind
		knownRuns bool
		left      time.Duration
		taken     bool
	}{
		{"action whose deadline is before the end", catalog.AtMostOnce, true, 3100 * time.Millisecond, true},
		{"action whose deadline is after the end", catalog.AtMostOnce, true, 2900 * time.Millisecond, false},
		{"read that usually ends in time", catalog.Idempotent, true, 2 * time.Second, true},
		{"read that may not end in time", catalog.Idempotent, true, time.Second, false},
		{"read of which nothing is known", catalog.Idempotent, false, 2900 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			e := New(Settings{Instance: "one", Zone: "z", Region: "r", Zones: map[string]string{"z": "r"}, Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
			if c.knownRuns {
				e.runTimes.Observe(placement.Serving{Upstream: "files", Region: "r"}, "route", run, placement.ReportedLoad{})
			}
			q := &request{upstream: "files", route: &catalog.Route{Name: "route", Kind: c.kind}, deadline: now.Add(timeout)}
			g.Expect(e.refuseLate(now, q)).To(BeNil(), "no stop is asked for")
			stopsAt := now.Add(c.left)
			e.stopsAt.Store(&stopsAt)
			refused := e.refuseLate(now, q)
			if c.taken {
				g.Expect(refused).To(BeNil())
				return
			}
			g.Expect(refused.Kind).To(Equal(refusal.Stopping))
			g.Expect(refused.Outcome).To(Equal(refusal.NotRun))
			g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}
