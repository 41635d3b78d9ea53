package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagescale/internal/instancelist"
)

// fleet simulates the instances of several zones and the network between them in one
// process.
type fleet struct {
	now     time.Time
	options Options
	random  *rand.Rand
	nodes   []*node
	byLink  map[string]*node
	starts  int
	// partitioned holds the pairs of zones that cannot reach each other.
	partitioned map[[2]string]bool
	// lossPercent is the chance that a request or a reply is lost. duplicatePercent
	// is the chance that a request is sent twice, and that each copy is delayed.
	lossPercent, duplicatePercent int
	delayedExchanges              []func()
	onSend                        func(from *node, message Message)
}

// node is one instance and the core of its current incarnation.
type node struct {
	instance instancelist.Instance
	core     *Core
	down     bool
	paused   bool
}

func newFleet(zones, perZone int, options Options) *fleet {
	f := &fleet{
		now:         time.Unix(1_000_000, 0),
		options:     options,
		random:      rand.New(rand.NewPCG(1, 1)),
		partitioned: make(map[[2]string]bool),
	}
	for z := range zones {
		for i := range perZone {
			id := fmt.Sprintf("zone-%d-%d", z, i)
			f.nodes = append(f.nodes, &node{instance: instancelist.Instance{
				ID: id, Zone: fmt.Sprintf("zone-%d", z), Link: id, State: instancelist.Live,
			}})
		}
	}
	f.byLink = make(map[string]*node)
	for _, n := range f.nodes {
		f.byLink[n.instance.Link] = n
		f.startIncarnation(n)
	}
	f.publishList()
	return f
}

// startIncarnation starts a new incarnation of an instance.
func (f *fleet) startIncarnation(n *node) {
	f.starts++
	n.down, n.paused = false, false
	n.instance.State = instancelist.Live
	n.core = NewCore(f.now, Member{
		Instance:    n.instance.ID,
		Incarnation: fmt.Sprintf("%s-%d", n.instance.ID, f.starts),
		Zone:        n.instance.Zone,
		Link:        n.instance.Link,
		State:       instancelist.Live,
	}, rand.New(rand.NewPCG(uint64(f.starts), 2)), f.options)
}

// publishList passes the platform's list of the running and paused instances to
// every running node.
func (f *fleet) publishList() {
	var listed []instancelist.Instance
	for _, n := range f.nodes {
		if !n.down {
			listed = append(listed, n.instance)
		}
	}
	for _, n := range f.nodes {
		if n.running() {
			n.core.SetInstanceList(listed)
		}
	}
}

func (n *node) running() bool { return !n.down && !n.paused }

func (f *fleet) reachable(a, b string) bool {
	return !f.partitioned[[2]string{a, b}] && !f.partitioned[[2]string{b, a}]
}

func (f *fleet) chance(percent int) bool { return percent > 0 && f.random.IntN(100) < percent }

// sendAll performs the exchanges of the requests and of all requests that follow from
// their replies, with the configured duplicates and delays.
func (f *fleet) sendAll(from *node, requests []Outgoing) {
	core := from.core
	for _, request := range requests {
		copies := 1
		if f.chance(f.duplicatePercent) {
			copies++
		}
		for range copies {
			if f.chance(f.duplicatePercent) {
				f.delayedExchanges = append(f.delayedExchanges, func() { f.exchange(from, core, request) })
				continue
			}
			f.exchange(from, core, request)
		}
	}
}

// exchange delivers a request and its reply, unless one of them is lost.
func (f *fleet) exchange(from *node, core *Core, request Outgoing) {
	to, known := f.byLink[request.Peer]
	if !known {
		return
	}
	f.reportSent(from, request.Message)
	if !to.running() || f.chance(f.lossPercent) || !f.reachable(from.instance.Zone, to.instance.Zone) {
		return
	}
	reply := to.core.HandleRequest(f.now, request.Message)
	f.reportSent(to, reply)
	if from.core != core || !from.running() || f.chance(f.lossPercent) {
		return
	}
	f.sendAll(from, core.HandleReply(f.now, request, reply))
}

func (f *fleet) reportSent(from *node, message Message) {
	if f.onSend != nil {
		f.onSend(from, message)
	}
}

// advance moves the clock on tick by tick and calls Core.Tick on the running nodes. After
// each tick it performs each delayed exchange with a probability of one half, in random
// order, and drops the others.
func (f *fleet) advance(d time.Duration) {
	tick := f.options.WithDefaults().TickInterval()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, n := range f.nodes {
			if n.running() {
				f.sendAll(n, n.core.Tick(f.now))
			}
		}
		due := f.delayedExchanges
		f.delayedExchanges = nil
		f.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, exchange := range due {
			if f.chance(50) {
				exchange()
			}
		}
	}
}

// healAndConverge ends all faults, resumes paused nodes and lets the fleet converge.
func (f *fleet) healAndConverge() {
	f.lossPercent, f.duplicatePercent = 0, 0
	clear(f.partitioned)
	for _, n := range f.nodes {
		n.paused = false
	}
	f.publishList()
	f.advance(2 * time.Minute)
}
