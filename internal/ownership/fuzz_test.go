package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

const (
	fuzzSlots          = 3
	fuzzRequestTimeout = 1500 * time.Millisecond
	fuzzTick           = 250 * time.Millisecond
)

var fuzzEndpoints = []string{"e1", "e2", "e3"}

// request is a request that an endpoint processes.
type request struct {
	endpoint string
	endsAt   time.Time
}

// instance is a simulated entry instance.
type instance struct {
	name      string
	core      *Core
	starts    int
	pausedAt  time.Time
	delisted  bool      // omitted by the platform's list once its requests are over
	endedAt   time.Time // when the process ended or the instance was delisted
	crashedAt time.Time // when the process ended and its connections were closed
	inFlight  []request // as counted by the process
}

func (i *instance) running() bool { return i.core != nil && i.pausedAt.IsZero() }

// packet is a statement or a reply in transit.
type packet struct {
	to        string
	from      string
	statement *Statement
	reply     *Reply
}

// zone simulates a zone: its instances, the requests that its endpoints process, and
// the network between the instances.
type zone struct {
	now             time.Time
	instances       []*instance
	executing       []request // at the endpoints
	network         []packet
	startedRequests int
}

func (z *zone) byName(name string) *instance {
	for _, i := range z.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (z *zone) start(i *instance) {
	i.starts++
	i.delisted = false
	i.crashedAt = time.Time{}
	i.inFlight = nil
	i.core = New(z.now, i.name, fmt.Sprintf("%s-%d", i.name, i.starts), Options{})
	requestTimeouts := make(map[string]time.Duration)
	for _, endpoint := range fuzzEndpoints {
		requestTimeouts[endpoint] = fuzzRequestTimeout
	}
	i.core.SetEndpoints(z.now, requestTimeouts)
	z.updateInstanceList(i)
}

// updateInstanceList passes the platform's list to an instance. The list omits a
// delisted instance once its requests are over.
func (z *zone) updateInstanceList(i *instance) {
	var listed []Sibling
	for _, other := range z.instances {
		omitted := other.delisted && z.now.Sub(other.endedAt) > fuzzRequestTimeout
		if !omitted && (other.starts > 0 || other == i) {
			listed = append(listed, Sibling{Instance: other.name})
		}
	}
	i.core.SetInstanceList(z.now, listed)
}

// completeRequests removes finished requests and reports drained endpoints.
func (z *zone) completeRequests() {
	finished := func(r request) bool { return !r.endsAt.After(z.now) }
	z.executing = withoutFinished(z.executing, finished)
	for _, i := range z.instances {
		if !i.running() {
			continue
		}
		i.inFlight = withoutFinished(i.inFlight, finished)
		for _, endpoint := range i.core.Yielding() {
			if countAt(i.inFlight, endpoint) == 0 {
				i.core.ReportDrained(z.now, endpoint)
			}
		}
	}
}

func withoutFinished(requests []request, finished func(request) bool) []request {
	var kept []request
	for _, r := range requests {
		if !finished(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

func countAt(requests []request, endpoint string) int {
	n := 0
	for _, r := range requests {
		if r.endpoint == endpoint {
			n++
		}
	}
	return n
}

func (z *zone) advance(by time.Duration) {
	for end := z.now.Add(by); z.now.Before(end); {
		z.now = z.now.Add(fuzzTick)
		z.completeRequests()
		for _, i := range z.instances {
			if i.running() {
				z.updateInstanceList(i)
				z.tick(i)
			}
		}
	}
}

func (z *zone) tick(i *instance) {
	for _, out := range i.core.Tick(z.now) {
		statement := out.Statement
		z.network = append(z.network, packet{to: out.To.Instance, from: i.name, statement: &statement})
	}
}

func (z *zone) deliver(p packet) {
	to := z.byName(p.to)
	if to == nil || !to.running() {
		return
	}
	if p.reply != nil {
		to.core.HandleReply(z.now, *p.reply)
		return
	}
	reply := to.core.HandleStatement(z.now, *p.statement)
	z.network = append(z.network, packet{to: p.from, from: p.to, reply: &reply})
}

// startRequests starts as many requests as the instance permits itself.
func (z *zone) startRequests(i *instance, duration time.Duration) {
	if i.core == nil || z.now.After(i.core.Expiry()) {
		return
	}
	i.inFlight = withoutFinished(i.inFlight, func(r request) bool { return !r.endsAt.After(z.now) })
	for _, endpoint := range i.core.Held() {
		divisor, takesRemainder := i.core.SlotShare(z.now, endpoint)
		limit := fuzzSlots / divisor
		if takesRemainder {
			limit += fuzzSlots % divisor
		}
		for countAt(i.inFlight, endpoint) < limit {
			r := request{endpoint: endpoint, endsAt: z.now.Add(duration)}
			i.inFlight = append(i.inFlight, r)
			z.executing = append(z.executing, r)
			z.startedRequests++
		}
	}
}

// startAllRequests starts requests from all running instances.
func (z *zone) startAllRequests() {
	for _, i := range z.instances {
		if i.running() {
			z.startRequests(i, fuzzRequestTimeout)
		}
	}
}

// converge advances the zone by rounds in which every running instance sees the others
// and all messages arrive.
func (z *zone) converge(rounds int) {
	for range rounds {
		for _, i := range z.instances {
			if i.running() {
				z.reportDeaths(i)
				i.core.SetSiblings(z.now, z.visibleSiblings(i, func() bool { return true }))
			}
		}
		z.advance(fuzzTick)
		z.startAllRequests()
		z.deliverAll()
	}
}

func (z *zone) deliverAll() {
	for len(z.network) > 0 {
		p := z.network[0]
		z.network = z.network[1:]
		z.deliver(p)
	}
}

// visibleSiblings returns the running siblings of an instance for which visible returns
// true.
func (z *zone) visibleSiblings(i *instance, visible func() bool) []Sibling {
	var siblings []Sibling
	for _, other := range z.instances {
		if other != i && other.running() && visible() {
			siblings = append(siblings, Sibling{Instance: other.name, Incarnation: other.core.incarnation, Live: !other.core.leaving})
		}
	}
	return siblings
}

// stop ends a process. If its connections are closed, its requests continue for
// CancelMargin at most; otherwise they run to their end.
func (z *zone) stop(i *instance, connectionsClosed bool) {
	limit := z.now.Add(defaultCancelMargin)
	for _, own := range i.inFlight {
		for n, r := range z.executing {
			if connectionsClosed && r == own && r.endsAt.After(limit) {
				z.executing[n].endsAt = limit
				break
			}
		}
	}
	i.core = nil
	i.pausedAt = time.Time{}
	i.endedAt = z.now
	if connectionsClosed {
		i.crashedAt = z.now
	} else {
		i.delisted = true
	}
}

func (z *zone) checkSlots(t *rapid.T) {
	for _, endpoint := range fuzzEndpoints {
		if n := countAt(z.executing, endpoint); n > fuzzSlots {
			t.Fatalf("endpoint %q processes %d requests but has %d slots", endpoint, n, fuzzSlots)
		}
	}
}

// reportDeaths reports crashed siblings and the platform's list to an instance.
func (z *zone) reportDeaths(i *instance) {
	for _, other := range z.instances {
		if other.core == nil && !other.crashedAt.IsZero() && i.core.siblings[other.name] != nil {
			i.core.ReportDeath(z.now, other.name, i.core.siblings[other.name].Incarnation, ProcessEnded)
		}
	}
	z.updateInstanceList(i)
}

// newZone returns a zone of four instances of which three have started and converged.
func newZone() *zone {
	z := &zone{now: time.Unix(1_000_000, 0)}
	for n := range 4 {
		z.instances = append(z.instances, &instance{name: fmt.Sprintf("i%d", n)})
	}
	for _, i := range z.instances[:3] {
		z.start(i)
	}
	z.converge(8)
	return z
}

// TestFuzzSlotsAreNeverExceeded exposes a zone to message loss, reordering and
// duplication and to crashed, lost, paused and leaving instances, and checks that no
// endpoint processes more requests than it has slots.
func TestFuzzSlotsAreNeverExceeded(t *testing.T) {
	startedRequests := 0
	rapid.Check(t, func(t *rapid.T) {
		z := newZone()
		drawInstance := func(t *rapid.T) *instance { return rapid.SampledFrom(z.instances).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				z.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "ticks")) * fuzzTick)
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "messages") {
					if len(z.network) == 0 {
						return
					}
					n := rapid.IntRange(0, len(z.network)-1).Draw(t, "message")
					p := z.network[n]
					if rapid.IntRange(0, 9).Draw(t, "keep") > 0 {
						z.network = append(z.network[:n:n], z.network[n+1:]...)
					}
					z.deliver(p)
				}
			},
			"deliverAll": func(*rapid.T) { z.deliverAll() },
			"lose":       func(*rapid.T) { z.network = nil },
			"converge": func(t *rapid.T) {
				z.converge(rapid.IntRange(1, 8).Draw(t, "rounds"))
			},
			"start": func(t *rapid.T) {
				i := drawInstance(t)
				booting := i.delisted && z.now.Sub(i.endedAt) <= fuzzRequestTimeout // booting a host takes longer
				if i.core == nil && !booting {
					z.start(i)
				}
			},
			"crash": func(t *rapid.T) {
				if i := drawInstance(t); i.core != nil {
					z.stop(i, true)
				}
			},
			"vanish": func(t *rapid.T) {
				if i := drawInstance(t); i.core != nil {
					z.stop(i, false)
				}
			},
			"pause": func(t *rapid.T) {
				if i := drawInstance(t); i.running() {
					i.pausedAt = z.now
				}
			},
			"resume": func(t *rapid.T) {
				i := drawInstance(t)
				if i.core == nil || i.pausedAt.IsZero() {
					return
				}
				i.pausedAt = time.Time{}
				z.startRequests(i, fuzzRequestTimeout) // requests start before the control loop runs
				z.checkSlots(t)
				i.delisted = false
				z.tick(i)
			},
			// The platform delists an instance that has been paused for long.
			"delistPaused": func(t *rapid.T) {
				if i := drawInstance(t); !i.pausedAt.IsZero() && z.now.Sub(i.pausedAt) > defaultTickTimeout {
					i.delisted = true
					i.endedAt = z.now
				}
			},
			// A pause that can outlast a takeover by the siblings and all requests in flight.
			"succeedPaused": func(t *rapid.T) {
				i := drawInstance(t)
				if !i.running() {
					return
				}
				i.pausedAt = z.now
				z.converge(rapid.IntRange(1, 50).Draw(t, "before"))
				if z.now.Sub(i.pausedAt) > defaultTickTimeout {
					i.delisted = true
					i.endedAt = z.now
				}
				z.converge(rapid.IntRange(1, 60).Draw(t, "after"))
			},
			"proofs": func(t *rapid.T) {
				if i := drawInstance(t); i.running() {
					z.reportDeaths(i)
				}
			},
			"view": func(t *rapid.T) {
				if i := drawInstance(t); i.running() {
					i.core.SetSiblings(z.now, z.visibleSiblings(i, func() bool { return rapid.Bool().Draw(t, "seen") }))
				}
			},
			"leave": func(t *rapid.T) {
				if i := drawInstance(t); i.running() && rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					i.core.SetLeaving(z.now)
				}
			},
			"": func(t *rapid.T) {
				z.completeRequests()
				z.startAllRequests()
				z.checkSlots(t)
			},
		})
		startedRequests += z.startedRequests
	})
	if startedRequests == 0 {
		t.Fatal("no instance ever used an endpoint")
	}
}
