package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	_ "lovagescale/internal/fuzzseed"
)

// quotaWorld runs the control state of instances in steps, without a network: they
// report, exchange digests and lend to each other, unless a fault is between them.
type quotaWorld struct {
	random    *rand.Rand
	now       time.Time
	settings  []Settings
	instances []*Edge
	// downUntil is when an instance runs again.
	downUntil []time.Time
	// reportAt and exchangeAt are when an instance talks next.
	reportAt, exchangeAt []time.Time
	// group is the side of a partition that an instance is on.
	group []int
	// lost are the ways, from one instance to another, on which all is lost.
	lost map[[2]int]bool
	// late is the share of the borrows that are answered too late.
	late     float64
	catalog  *catalog.Catalog
	admitted []int
	asked    int
}

const simStep = 50 * time.Millisecond

func newQuotaWorld(seed uint64, regions, zones, perZone int, rate float64) *quotaWorld {
	w := &quotaWorld{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.UnixMilli(1_000_000),
		catalog: catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: rate, Burst: rate}}, catalog.Limits{}),
	}
	places := make(map[string]string)
	for r := range regions {
		for z := range zones {
			places[fmt.Sprintf("r%d-z%d", r, z)] = fmt.Sprint("r", r)
		}
	}
	for zone, region := range places {
		for i := range perZone {
			name := fmt.Sprint(zone, "-", i)
			w.settings = append(w.settings, Settings{Instance: name, Zone: zone, Region: region, Zones: places,
				Link: name, Bounds: DefaultBounds()})
		}
	}
	slices.SortFunc(w.settings, func(a, b Settings) int { return strings.Compare(a.Instance, b.Instance) })
	n := len(w.settings)
	w.instances = make([]*Edge, n)
	w.downUntil = make([]time.Time, n)
	w.reportAt, w.exchangeAt = make([]time.Time, n), make([]time.Time, n)
	w.group = make([]int, n)
	w.lost = make(map[[2]int]bool)
	for i := range n {
		w.start(i)
	}
	return w
}

// start runs an instance anew; the store tells it and the others of the registration.
func (w *quotaWorld) start(i int) {
	e := New(w.settings[i], Ports{}, zerolog.Nop())
	self := e.state.fleet.Self()
	self.Incarnation = w.now.UnixMilli()
	e.state.fleet = fleet.New(self)
	w.instances[i] = e
	for j, other := range w.instances {
		if other != nil && j != i {
			e.state.fleet.ApplyRegistration(w.now, other.state.fleet.Self())
			other.state.fleet.ApplyRegistration(w.now, self)
		}
	}
	e.state.fleet.ApplyRegistration(w.now, self)
	e.catalog.Store(w.catalog)
	e.state.tick(w.now)
}

func (w *quotaWorld) up(i int) bool { return !w.now.Before(w.downUntil[i]) }

// reaches reports whether a message gets through now.
func (w *quotaWorld) reaches(from, to int) bool {
	return w.up(from) && w.up(to) && w.group[from] == w.group[to] && !w.lost[[2]int{from, to}]
}

func (w *quotaWorld) index(instance string) int {
	return slices.IndexFunc(w.settings, func(s Settings) bool { return s.Instance == instance })
}

// talk lets an instance report, and as a delegate exchange.
func (w *quotaWorld) talk(i int) {
	s := w.instances[i].state
	if w.now.Before(w.reportAt[i]) {
		return
	}
	turn := s.turn(w.now)
	w.reportAt[i] = w.now.Add(turn.interval/2 + time.Duration(w.random.Int64N(int64(turn.interval))))
	for k, delegate := range turn.reportTo {
		report := turn.report
		report.OmitDigests = turn.large && (k > 0 || turn.delegate)
		if to := w.index(delegate.Instance); w.reaches(i, to) {
			s.fleet.RecordResponse(delegate.Instance)
			s.takeReply(w.now, report, w.instances[to].state.answerReport(w.now, report))
		} else {
			s.fleet.RecordFailure(w.now, delegate.Instance)
		}
	}
	if len(turn.exchangeWith) == 0 || w.now.Before(w.exchangeAt[i]) {
		return
	}
	w.exchangeAt[i] = w.now.Add(exchangeInterval)
	for _, delegate := range turn.exchangeWith {
		if to := w.index(delegate.Instance); w.reaches(i, to) {
			s.fleet.RecordResponse(delegate.Instance)
			s.takeRelays(w.now, w.instances[to].state.answerExchange(w.now, turn.exchange))
		} else {
			s.fleet.RecordFailure(w.now, delegate.Instance)
		}
	}
}

// asks reports whether a borrow is answered; a holder that goes on not answering is
// passed over.
func (w *quotaWorld) asks(from int, holder fleet.Member) bool {
	e := w.instances[from]
	if w.reaches(from, w.index(holder.Instance)) && w.random.Float64() >= w.late {
		e.lending.answered(holder.Instance)
		return true
	}
	if e.lending.failed(w.now, holder.Instance) {
		e.state.silent(w.now, holder.Instance)
	}
	return false
}

// request lets a caller of the workspace ask an instance.
func (w *quotaWorld) request(i int) bool {
	e := w.instances[i]
	workspace := w.catalog.Workspaces["azul"]
	e.arrivals.Count(workspace.Name)
	w.asked++
	loan := e.lending.borrow(w.now, workspace, func(holder fleet.Member, ask fleet.Borrow) (fleet.BorrowReply, bool) {
		if !w.asks(i, holder) {
			return fleet.BorrowReply{}, false
		}
		to := w.index(holder.Instance)
		for _, member := range w.instances[to].lending.members(ask.Unresponsive) {
			w.asks(to, member)
		}
		return w.instances[to].lending.lend(w.now, workspace, ask), true
	})
	return loan.Granted
}

// step plays a step in which callers ask for the demand, in requests per second over
// the whole fleet, at the instances by weight.
func (w *quotaWorld) step(demand float64, weight []float64) {
	w.now = w.now.Add(simStep)
	for i, e := range w.instances {
		if !w.up(i) {
			continue
		}
		if (w.now.UnixMilli()/simStep.Milliseconds()+int64(i))%5 == 0 {
			e.state.tick(w.now)
		}
		w.talk(i)
	}
	granted := 0
	for i := range w.instances {
		owed := demand * simStep.Seconds() * weight[i]
		n := int(owed)
		if w.random.Float64() < owed-float64(n) {
			n++
		}
		for range n {
			if w.up(i) && w.request(i) {
				granted++
			}
		}
	}
	w.admitted = append(w.admitted, granted)
}

// most returns the most that was admitted in a window of 5 s.
func (w *quotaWorld) most() int {
	most, sum := 0, 0
	for i, n := range w.admitted {
		sum += n
		if i >= 100 {
			sum -= w.admitted[i-100]
		}
		most = max(most, sum)
	}
	return most
}

// harm starts or ends a fault.
func (w *quotaWorld) harm(fault int, i int) {
	switch fault {
	case 0: // an instance dies and is back
		w.downUntil[i] = w.now.Add(time.Duration(500+w.random.IntN(3000)) * time.Millisecond)
		w.start(i)
	case 1: // an instance is paused
		w.downUntil[i] = w.now.Add(time.Duration(500+w.random.IntN(4000)) * time.Millisecond)
	case 2: // an instance is cut off from all others
		w.group[i] = 100 + i
	case 3: // a zone is cut off from the others
		for j, s := range w.settings {
			if s.Zone == w.settings[i].Zone {
				w.group[j] = 1
			}
		}
	case 4: // answers come late
		w.late = 0.1
	case 5: // an instance does not reach another one, which may reach it
		w.lost[[2]int{i, w.random.IntN(len(w.instances))}] = true
	default: // all is well again
		clear(w.group)
		clear(w.lost)
		w.late = 0
	}
}

// TestFuzzQuotaUnderFaults kills, pauses and cuts off instances and makes answers
// late, while a workspace asks for several times its rate: no window holds more
// than the bound that the users check.
func TestFuzzQuotaUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(20, 300).Draw(rt, "rate"))
		w := newQuotaWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "regions"),
			rapid.IntRange(1, 2).Draw(rt, "zones"), rapid.IntRange(1, 4).Draw(rt, "instances a zone"), rate)
		n := len(w.instances)
		even := slices.Repeat([]float64{1 / float64(n)}, n)
		for range 160 {
			w.step(0.6*rate, even)
		}
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			w.harm(rapid.IntRange(0, 6).Draw(rt, "fault"), rapid.IntRange(0, n-1).Draw(rt, "instance"))
			factor := rapid.Float64Range(0.5, 6).Draw(rt, "demand")
			for range rapid.IntRange(5, 100).Draw(rt, "steps") {
				w.step(factor*rate, even)
			}
		}
		bound := (rate*5+rate)*1.1 + 20
		if most := w.most(); float64(most) > bound {
			rt.Fatalf("%d requests in a window, the bound is %.0f", most, bound)
		}
	})
}

// Load pattern: demand that begins everywhere at once, as after a restart of all. Each
// instance heard of the others' demand before its own counted, so that the shares added
// up to 0.73 of the quota for half a second.
func TestSharesHoldTheQuotaWhileDemandBeginsEverywhere(t *testing.T) {
	w := newQuotaWorld(3, 3, 2, 2, 300)
	even := slices.Repeat([]float64{1 / float64(len(w.instances))}, len(w.instances))
	for range 60 {
		w.step(0, even)
	}
	least := 1.0
	for range 60 {
		w.step(0.6*300, even)
		sum := 0.0
		for _, e := range w.instances {
			sum += e.lending.pool.Shares()["azul"]
		}
		least = min(least, sum)
	}
	if least < 0.8 {
		t.Fatalf("the shares of all zones add up to %.3f while demand rises", least)
	}
}
