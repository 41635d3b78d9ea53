package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagescale/internal/instancelist"
)

// fleet drives cores in one process with a network of its own.
type fleet struct {
	now     time.Time
	options Options
	random  *rand.Rand
	nodes   []*node
	byLink  map[string]*node
	runs    int
	// cut holds pairs of zones that cannot reach each other.
	cut map[[2]string]bool
	// lose and repeat are the chances of a message in percent.
	lose, repeat int
	delayed      []func()
	sent         func(from *node, message Message)
}

// node is one instance and the core of its present incarnation.
type node struct {
	instance instancelist.Instance
	core     *Core
	down     bool
	frozen   bool
}

func newFleet(zones, perZone int, options Options) *fleet {
	f := &fleet{
		now:     time.Unix(1_000_000, 0),
		options: options,
		random:  rand.New(rand.NewPCG(1, 1)),
		cut:     make(map[[2]string]bool),
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
		f.start(n)
	}
	f.list()
	return f
}

// start runs a new incarnation of an instance.
func (f *fleet) start(n *node) {
	f.runs++
	n.down, n.frozen = false, false
	n.instance.State = instancelist.Live
	n.core = NewCore(f.now, Member{
		Instance:    n.instance.ID,
		Incarnation: fmt.Sprintf("%s-%d", n.instance.ID, f.runs),
		Zone:        n.instance.Zone,
		Link:        n.instance.Link,
		State:       instancelist.Live,
	}, rand.New(rand.NewPCG(uint64(f.runs), 2)), f.options)
}

// list shows the platform's list to every node.
func (f *fleet) list() {
	var listed []instancelist.Instance
	for _, n := range f.nodes {
		if !n.down {
			listed = append(listed, n.instance)
		}
	}
	for _, n := range f.nodes {
		if n.runs() {
			n.core.Listed(listed)
		}
	}
}

func (n *node) runs() bool { return !n.down && !n.frozen }

func (f *fleet) reachable(a, b string) bool {
	return !f.cut[[2]string{a, b}] && !f.cut[[2]string{b, a}]
}

func (f *fleet) chance(percent int) bool { return percent > 0 && f.random.IntN(100) < percent }

// deliver carries requests and their replies, and all that follows from them.
func (f *fleet) deliver(from *node, requests []Outgoing) {
	core := from.core
	for _, request := range requests {
		times := 1
		if f.chance(f.repeat) {
			times++
		}
		for range times {
			if f.chance(f.repeat) {
				f.delayed = append(f.delayed, func() { f.carry(from, core, request) })
				continue
			}
			f.carry(from, core, request)
		}
	}
}

func (f *fleet) carry(from *node, core *Core, request Outgoing) {
	to, known := f.byLink[request.Peer]
	if !known {
		return
	}
	f.count(from, request.Message)
	if !to.runs() || f.chance(f.lose) || !f.reachable(from.instance.Zone, to.instance.Zone) {
		return
	}
	reply := to.core.Serve(f.now, request.Message)
	f.count(to, reply)
	if from.core != core || !from.runs() || f.chance(f.lose) {
		return
	}
	f.deliver(from, core.Answered(f.now, request, reply))
}

func (f *fleet) count(from *node, message Message) {
	if f.sent != nil {
		f.sent(from, message)
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	tick := f.options.WithDefaults().TickInterval()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, n := range f.nodes {
			if n.runs() {
				f.deliver(n, n.core.Tick(f.now))
			}
		}
		due := f.delayed
		f.delayed = nil
		f.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, carry := range due {
			if f.chance(50) {
				carry()
			}
		}
	}
}

// settle ends all faults and lets the fleet converge.
func (f *fleet) settle() {
	f.lose, f.repeat = 0, 0
	clear(f.cut)
	for _, n := range f.nodes {
		n.frozen = false
	}
	f.list()
	f.run(2 * time.Minute)
}
