package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagescale/internal/namedlimit"
)

// TestFuzzRestriction changes an endpoint at random. A choice skips the endpoint's lock if
// isRestricted says that nothing restricts it; then nothing under the lock may. It guards
// against a change of state that is not published, after which an endpoint that is leaving,
// paused, ejected, cold or limited would get requests.
func TestFuzzRestriction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(1_000_000)
		e := newEndpoint(Record{ID: "e", Slots: 4}, "north", nil)
		spans := rapid.IntRange(0, 2000)
		span := func(name string) time.Duration { return time.Duration(spans.Draw(rt, name)) * time.Millisecond }
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(span("passes"))
			switch rapid.IntRange(0, 8).Draw(rt, "change") {
			case 0:
				e.Pause(now.Add(span("pause")))
			case 1:
				e.SetCold(now, now.Add(span("cold")), span("interval"))
			case 2:
				e.HearLimit(now, e.StampRequest(now), 1, rapid.Bool().Draw(rt, "named"))
			case 3:
				e.applyLimitNews(now, namedlimit.News{PerSecond: 2, Named: namedlimit.Stamp(now.UnixMilli())})
			case 4:
				e.beginRequest(now)
			case 5:
				if e.InFlight() > 0 {
					e.endRequest(now, Result(rapid.IntRange(0, int(Crowded)).Draw(rt, "result")), 1)
				}
			case 6:
				e.ForgetOutage(now)
			case 7:
				e.SetLimitInterval(now, span("interval"))
			case 8:
				if rapid.IntRange(0, 20).Draw(rt, "leaves") == 0 {
					e.raiseDeparture(leavingByReport)
				}
			}
			own := e.inFlight.Load()
			r := e.restriction(now, own)
			unrestricted := r == restriction{status: healthy, permitted: true}
			if !e.isRestricted(now.UnixNano(), own) && !unrestricted {
				rt.Fatalf("%+v is not published", r)
			}
		}
	})
}
