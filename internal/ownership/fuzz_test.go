package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

const (
	fuzzSlots = 3
	fuzzBound = 1500 * time.Millisecond
	fuzzTick  = 250 * time.Millisecond
)

var fuzzEndpoints = []string{"e1", "e2", "e3"}

// work is one request as its endpoint sees it.
type work struct {
	endpoint string
	ends     time.Time
}

// instance is one process of the model.
type instance struct {
	name     string
	core     *Core
	started  int
	paused   time.Time
	vanished bool
	ended    time.Time
	crashed  time.Time
	inFlight []work // what the process counts
}

func (i *instance) running() bool { return i.core != nil && i.paused.IsZero() }

// mail is a message on its way.
type mail struct {
	to        string
	from      string
	statement *Statement
	answer    *Answer
}

// zone is the model: processes, what the endpoints run, and the network.
type zone struct {
	now       time.Time
	instances []*instance
	running   []work // what the endpoints run
	network   []mail
	used      int
}

func (z *zone) byName(name string) *instance {
	for _, i := range z.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (z *zone) boot(i *instance) {
	i.started++
	i.vanished = false
	i.crashed = time.Time{}
	i.inFlight = nil
	i.core = New(z.now, i.name, fmt.Sprintf("%s-%d", i.name, i.started), Options{})
	bounds := make(map[string]time.Duration)
	for _, endpoint := range fuzzEndpoints {
		bounds[endpoint] = fuzzBound
	}
	i.core.SetEndpoints(z.now, bounds)
	z.list(i)
}

// list gives an instance the platform's list, which leaves out instances that
// vanished once their requests are over.
func (z *zone) list(i *instance) {
	var listed []Peer
	for _, other := range z.instances {
		gone := other.vanished && z.now.Sub(other.ended) > fuzzBound
		if !gone && (other.started > 0 || other == i) {
			listed = append(listed, Peer{Instance: other.name})
		}
	}
	i.core.Listed(z.now, listed)
}

// settleTraffic ends requests that are over.
func (z *zone) settleTraffic() {
	over := func(w work) bool { return !w.ends.After(z.now) }
	z.running = without(z.running, over)
	for _, i := range z.instances {
		if !i.running() {
			continue
		}
		i.inFlight = without(i.inFlight, over)
		for _, endpoint := range i.core.Yielding() {
			if count(i.inFlight, endpoint) == 0 {
				i.core.Idle(z.now, endpoint)
			}
		}
	}
}

func without(all []work, over func(work) bool) []work {
	var kept []work
	for _, w := range all {
		if !over(w) {
			kept = append(kept, w)
		}
	}
	return kept
}

func count(all []work, endpoint string) int {
	n := 0
	for _, w := range all {
		if w.endpoint == endpoint {
			n++
		}
	}
	return n
}

func (z *zone) advance(by time.Duration) {
	for end := z.now.Add(by); z.now.Before(end); {
		z.now = z.now.Add(fuzzTick)
		z.settleTraffic()
		for _, i := range z.instances {
			if i.running() {
				z.list(i)
				z.tick(i)
			}
		}
	}
}

func (z *zone) tick(i *instance) {
	for _, out := range i.core.Tick(z.now) {
		statement := out.Statement
		z.network = append(z.network, mail{to: out.To.Instance, from: i.name, statement: &statement})
	}
}

func (z *zone) deliver(m mail) {
	to := z.byName(m.to)
	if to == nil || !to.running() {
		return
	}
	if m.answer != nil {
		to.core.Answered(z.now, *m.answer)
		return
	}
	answer := to.core.Receive(z.now, *m.statement)
	z.network = append(z.network, mail{to: m.from, from: m.to, answer: &answer})
}

// use starts as many requests as the instance believes it may.
func (z *zone) use(i *instance, duration time.Duration) {
	if i.core == nil || z.now.After(i.core.Expiry()) {
		return
	}
	i.inFlight = without(i.inFlight, func(w work) bool { return !w.ends.After(z.now) })
	for _, endpoint := range i.core.Held() {
		of, first := i.core.Share(z.now, endpoint)
		limit := fuzzSlots / of
		if first {
			limit += fuzzSlots % of
		}
		for count(i.inFlight, endpoint) < limit {
			w := work{endpoint: endpoint, ends: z.now.Add(duration)}
			i.inFlight = append(i.inFlight, w)
			z.running = append(z.running, w)
			z.used++
		}
	}
}

// useAll starts requests on all running instances.
func (z *zone) useAll() {
	for _, i := range z.instances {
		if i.running() {
			z.use(i, fuzzBound)
		}
	}
}

// converge lets every running instance see the others while all messages
// arrive.
func (z *zone) converge(rounds int) {
	for range rounds {
		for _, i := range z.instances {
			if i.running() {
				z.proofs(i)
				i.core.SetPeers(z.now, z.seen(i, func() bool { return true }))
			}
		}
		z.advance(fuzzTick)
		z.useAll()
		z.deliverAll()
	}
}

func (z *zone) deliverAll() {
	for len(z.network) > 0 {
		m := z.network[0]
		z.network = z.network[1:]
		z.deliver(m)
	}
}

// seen returns the running siblings of an instance for which show holds.
func (z *zone) seen(i *instance, show func() bool) []Peer {
	var peers []Peer
	for _, other := range z.instances {
		if other != i && other.running() && show() {
			peers = append(peers, Peer{Instance: other.name, Incarnation: other.core.incarnation, Live: !other.core.leaving})
		}
	}
	return peers
}

// end stops a process. A closed one leaves its requests only for CancelMargin.
func (z *zone) end(i *instance, closed bool) {
	limit := z.now.Add(defaultCancelMargin)
	for _, mine := range i.inFlight {
		for n, w := range z.running {
			if closed && w == mine && w.ends.After(limit) {
				z.running[n].ends = limit
				break
			}
		}
	}
	i.core = nil
	i.paused = time.Time{}
	i.ended = z.now
	if closed {
		i.crashed = z.now
	} else {
		i.vanished = true
	}
}

func (z *zone) check(t *rapid.T) {
	for _, endpoint := range fuzzEndpoints {
		if n := count(z.running, endpoint); n > fuzzSlots {
			t.Fatalf("endpoint %q runs %d requests on %d slots", endpoint, n, fuzzSlots)
		}
	}
}

// proofs tells an instance what can be proved about the dead.
func (z *zone) proofs(i *instance) {
	for _, other := range z.instances {
		if other.core == nil && !other.crashed.IsZero() && i.core.peers[other.name] != nil {
			i.core.Died(z.now, other.name, i.core.peers[other.name].Incarnation, Closed)
		}
	}
	z.list(i)
}

// newZone returns three instances that have agreed.
func newZone() *zone {
	z := &zone{now: time.Unix(1_000_000, 0)}
	for n := range 4 {
		z.instances = append(z.instances, &instance{name: fmt.Sprintf("i%d", n)})
	}
	for _, i := range z.instances[:3] {
		z.boot(i)
	}
	z.converge(8)
	return z
}

func TestFuzzSlotsAreNeverExceeded(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		z := newZone()
		pick := func(t *rapid.T) *instance { return rapid.SampledFrom(z.instances).Draw(t, "instance") }
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
					m := z.network[n]
					if rapid.IntRange(0, 9).Draw(t, "keep") > 0 {
						z.network = append(z.network[:n:n], z.network[n+1:]...)
					}
					z.deliver(m)
				}
			},
			"deliverAll": func(*rapid.T) { z.deliverAll() },
			"lose":       func(*rapid.T) { z.network = nil },
			"converge": func(t *rapid.T) {
				z.converge(rapid.IntRange(1, 8).Draw(t, "rounds"))
			},
			"start": func(t *rapid.T) {
				i := pick(t)
				booting := i.vanished && z.now.Sub(i.ended) <= fuzzBound // a host takes longer to boot
				if i.core == nil && !booting {
					z.boot(i)
				}
			},
			"crash": func(t *rapid.T) {
				if i := pick(t); i.core != nil {
					z.end(i, true)
				}
			},
			"vanish": func(t *rapid.T) {
				if i := pick(t); i.core != nil {
					z.end(i, false)
				}
			},
			"pause": func(t *rapid.T) {
				if i := pick(t); i.running() {
					i.paused = z.now
				}
			},
			"resume": func(t *rapid.T) {
				i := pick(t)
				if i.core == nil || i.paused.IsZero() {
					return
				}
				i.paused = time.Time{}
				z.use(i, fuzzBound) // traffic runs before the control loop
				z.check(t)
				i.vanished = false
				z.tick(i)
			},
			// The platform leaves out an instance that it saw paused for long.
			"delistPaused": func(t *rapid.T) {
				if i := pick(t); !i.paused.IsZero() && z.now.Sub(i.paused) > defaultHold {
					i.vanished = true
					i.ended = z.now
				}
			},
			// A pause that outlasts a succession and every request in flight.
			"succeedPaused": func(t *rapid.T) {
				i := pick(t)
				if !i.running() {
					return
				}
				i.paused = z.now
				z.converge(rapid.IntRange(1, 50).Draw(t, "before"))
				if z.now.Sub(i.paused) > defaultHold {
					i.vanished = true
					i.ended = z.now
				}
				z.converge(rapid.IntRange(1, 60).Draw(t, "after"))
			},
			"proofs": func(t *rapid.T) {
				if i := pick(t); i.running() {
					z.proofs(i)
				}
			},
			"view": func(t *rapid.T) {
				if i := pick(t); i.running() {
					i.core.SetPeers(z.now, z.seen(i, func() bool { return rapid.Bool().Draw(t, "seen") }))
				}
			},
			"leave": func(t *rapid.T) {
				if i := pick(t); i.running() && rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					i.core.SetLeaving(z.now)
				}
			},
			"": func(t *rapid.T) {
				z.settleTraffic()
				z.useAll()
				z.check(t)
			},
		})
		used += z.used
	})
	if used == 0 {
		t.Fatal("no instance ever used an endpoint")
	}
}
