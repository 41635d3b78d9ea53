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
	"lovagescale/internal/quotapool"
)

// quotaSimulation runs the control state of several instances in steps and without a
// network. Unless a fault prevents it, the instances send each other reports, exchanges
// and borrows.
type quotaSimulation struct {
	random    *rand.Rand
	now       time.Time
	settings  []Settings
	instances []*Edge
	// downUntil is the time until which an instance is down, by its index.
	downUntil []time.Time
	// nextReportAt and nextExchangeAt are the times of an instance's next messages.
	nextReportAt, nextExchangeAt []time.Time
	// partition is the side of a network partition to which an instance belongs.
	partition []int
	// lostPaths are pairs of a sender and a receiver between which all messages are lost.
	lostPaths map[[2]int]bool
	// lateFraction is the fraction of the borrows whose reply comes too late.
	lateFraction float64
	catalog      *catalog.Catalog
	// admitted is the number of requests admitted in each step, without those that did not
	// run.
	admitted []int
	requests int
	// notRunFraction is the fraction of the admitted requests that do not run. returns are
	// their tokens, which are on their way back.
	notRunFraction float64
	returns        []pendingReturn
}

// pendingReturn is the token of a request that did not run.
type pendingReturn struct {
	instance *Edge
	loan     quotapool.Loan
	dueAt    time.Time
}

const simStep = 50 * time.Millisecond

func newQuotaSimulation(seed uint64, regions, zones, perZone int, rate float64) *quotaSimulation {
	sim := &quotaSimulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.UnixMilli(1_000_000),
		catalog: catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: rate, Burst: rate}}, catalog.Limits{}),
	}
	regionOfZone := make(map[string]string)
	for r := range regions {
		for z := range zones {
			regionOfZone[fmt.Sprintf("r%d-z%d", r, z)] = fmt.Sprint("r", r)
		}
	}
	for zone, region := range regionOfZone {
		for i := range perZone {
			name := fmt.Sprint(zone, "-", i)
			sim.settings = append(sim.settings, Settings{Instance: name, Zone: zone, Region: region, Zones: regionOfZone,
				Link: name, Bounds: DefaultBounds()})
		}
	}
	slices.SortFunc(sim.settings, func(a, b Settings) int { return strings.Compare(a.Instance, b.Instance) })
	n := len(sim.settings)
	sim.instances = make([]*Edge, n)
	sim.downUntil = make([]time.Time, n)
	sim.nextReportAt, sim.nextExchangeAt = make([]time.Time, n), make([]time.Time, n)
	sim.partition = make([]int, n)
	sim.lostPaths = make(map[[2]int]bool)
	for i := range n {
		sim.start(i)
	}
	return sim
}

// start starts a new run of an instance, which the store then announces to all.
func (sim *quotaSimulation) start(i int) {
	e := New(sim.settings[i], Ports{}, zerolog.Nop())
	self := e.state.fleet.Self()
	self.Incarnation = sim.now.UnixMilli()
	e.state.fleet = fleet.New(self)
	e.state.fleet.SetCapacity(sim.settings[i].Capacity)
	e.state.random = sim.random.Float64
	sim.instances[i] = e
	for j, other := range sim.instances {
		if other != nil && j != i {
			e.state.fleet.ApplyRegistration(sim.now, other.state.fleet.Self())
			other.state.fleet.ApplyRegistration(sim.now, self)
		}
	}
	e.state.fleet.ApplyRegistration(sim.now, self)
	e.catalog.Store(sim.catalog)
	e.state.tick(sim.now)
}

func (sim *quotaSimulation) isUp(i int) bool { return !sim.now.Before(sim.downUntil[i]) }

// reaches reports whether a message between two instances arrives now.
func (sim *quotaSimulation) reaches(from, to int) bool {
	return sim.isUp(from) && sim.isUp(to) && sim.partition[from] == sim.partition[to] && !sim.lostPaths[[2]int{from, to}]
}

func (sim *quotaSimulation) index(instance string) int {
	return slices.IndexFunc(sim.settings, func(s Settings) bool { return s.Instance == instance })
}

// sendMessages sends the reports and exchanges of an instance that are due.
func (sim *quotaSimulation) sendMessages(i int) {
	s := sim.instances[i].state
	if sim.now.Before(sim.nextReportAt[i]) {
		return
	}
	round := s.newMessageRound(sim.now)
	sim.nextReportAt[i] = sim.now.Add(round.interval/2 + time.Duration(sim.random.Int64N(int64(round.interval))))
	for position, delegate := range round.reportTo {
		report := round.report
		report.OmitDigests = round.largeRegion && (position > 0 || round.isDelegate)
		if receiver := sim.index(delegate.Instance); sim.reaches(i, receiver) {
			s.fleet.RecordReply(delegate.Instance)
			s.applyReportReply(sim.now, report, sim.instances[receiver].state.handleReport(sim.now, report))
		} else {
			s.fleet.RecordFailure(sim.now, delegate.Instance)
		}
	}
	if len(round.exchanges) == 0 || sim.now.Before(sim.nextExchangeAt[i]) {
		return
	}
	sim.nextExchangeAt[i] = sim.now.Add(exchangeInterval)
	for _, exchange := range round.exchanges {
		if receiver := sim.index(exchange.to.Instance); sim.reaches(i, receiver) {
			s.fleet.RecordReply(exchange.to.Instance)
			s.applyExchangeReply(sim.now, exchange, sim.instances[receiver].state.handleExchange(sim.now, exchange.exchange))
		} else {
			s.fleet.RecordFailure(sim.now, exchange.to.Instance)
		}
	}
}

// holderReplies reports whether a holder replies to a borrow of an instance. If it
// repeatedly does not, the instance skips it.
func (sim *quotaSimulation) holderReplies(from int, holder fleet.Member) bool {
	sender := sim.instances[from]
	if sim.reaches(from, sim.index(holder.Instance)) && sim.random.Float64() >= sim.lateFraction {
		sender.pools.RecordReply(holder.Instance)
		return true
	}
	if sender.pools.RecordFailure(sim.now, holder.Instance) {
		sender.state.recordSilentHolder(sim.now, holder.Instance)
	}
	return false
}

// request sends a request of the workspace to an instance and reports whether it is
// admitted and runs.
func (sim *quotaSimulation) request(i int) bool {
	e := sim.instances[i]
	workspace := sim.catalog.Workspaces["azul"]
	e.workspaceDemand.Count(workspace.Name)
	sim.requests++
	loan := sim.borrow(e, workspace, func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
		if !sim.holderReplies(i, holder) {
			return fleet.BorrowReply{}, false
		}
		receiver := sim.index(holder.Instance)
		for _, member := range sim.instances[receiver].pools.ZoneMembers(borrow.Unresponsive) {
			sim.holderReplies(receiver, member)
		}
		return sim.instances[receiver].pools.Lend(sim.now, workspace, borrow), true
	})
	if loan.Granted && sim.notRunFraction > 0 && sim.random.Float64() < sim.notRunFraction {
		dueAt := sim.now.Add(time.Duration(sim.random.Int64N(int64(2 * time.Second))))
		sim.returns = append(sim.returns, pendingReturn{instance: e, loan: loan, dueAt: dueAt})
		return false
	}
	return loan.Granted
}

// borrow takes a token as an instance does, with a cache if requests may not run.
func (sim *quotaSimulation) borrow(e *Edge, workspace *catalog.Workspace, send quotapool.SendFunc) quotapool.Loan {
	if sim.notRunFraction == 0 {
		return e.pools.Borrow(sim.now, workspace, 1, send)
	}
	return e.borrow(sim.now, workspace, send)
}

// deliverReturns puts the tokens that are due into the cachees of their instances, and
// gives those that have stayed there back to their lenders. Those whose message is lost are
// not sent again.
func (sim *quotaSimulation) deliverReturns() {
	sim.returns = slices.DeleteFunc(sim.returns, func(r pendingReturn) bool {
		if sim.now.Before(r.dueAt) {
			return false
		}
		r.instance.tokens.Put("azul", r.loan, 1)
		return true
	})
	for i, e := range sim.instances {
		if !sim.isUp(i) {
			continue
		}
		for _, unspent := range e.tokens.TakeExpired(sim.now) {
			lender := i
			if unspent.Lender.Instance != "" {
				lender = sim.index(unspent.Lender.Instance)
			}
			if lender == i || sim.reaches(i, lender) {
				sim.instances[lender].pools.TakeBack(sim.now, unspent.Return)
			}
		}
	}
}

// step simulates one step. demand is the demand on all instances together, in requests
// per second, which is divided among them by the weights.
func (sim *quotaSimulation) step(demand float64, weights []float64) {
	sim.now = sim.now.Add(simStep)
	for i, e := range sim.instances {
		if !sim.isUp(i) {
			continue
		}
		if (sim.now.UnixMilli()/simStep.Milliseconds()+int64(i))%5 == 0 {
			e.state.tick(sim.now)
		}
		sim.sendMessages(i)
	}
	sim.deliverReturns()
	granted := 0
	for i := range sim.instances {
		expected := demand * simStep.Seconds() * weights[i]
		n := int(expected)
		if sim.random.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			if sim.isUp(i) && sim.request(i) {
				granted++
			}
		}
	}
	sim.admitted = append(sim.admitted, granted)
}

// maxInWindow returns the largest number of requests admitted in a window of 5 s.
func (sim *quotaSimulation) maxInWindow() int {
	largest, sum := 0, 0
	for i, n := range sim.admitted {
		sum += n
		if i >= 100 {
			sum -= sim.admitted[i-100]
		}
		largest = max(largest, sum)
	}
	return largest
}

// applyFault starts a fault or ends all faults.
func (sim *quotaSimulation) applyFault(fault int, i int) {
	switch fault {
	case 0: // an instance crashes and restarts
		sim.downUntil[i] = sim.now.Add(time.Duration(500+sim.random.IntN(3000)) * time.Millisecond)
		sim.start(i)
	case 1: // an instance is paused
		sim.downUntil[i] = sim.now.Add(time.Duration(500+sim.random.IntN(4000)) * time.Millisecond)
	case 2: // an instance is disconnected from all others
		sim.partition[i] = 100 + i
	case 3: // a zone is disconnected from the others
		for j, s := range sim.settings {
			if s.Zone == sim.settings[i].Zone {
				sim.partition[j] = 1
			}
		}
	case 4: // replies come too late
		sim.lateFraction = 0.1
	case 5: // messages in one direction between two instances are lost
		sim.lostPaths[[2]int{i, sim.random.IntN(len(sim.instances))}] = true
	default: // all faults end
		clear(sim.partition)
		clear(sim.lostPaths)
		sim.lateFraction = 0
	}
}

// TestFuzzQuotaUnderFaults kills, pauses and disconnects instances and delays replies
// while the demand of a workspace is up to six times its rate. No window may hold more
// requests than the limit that users check.
func TestFuzzQuotaUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkQuotaUnderFaults(rt, 0) })
}

// TestFuzzQuotaWithReturnsUnderFaults does the same while a part of the requests finds no
// room after their token was lent. Tokens that are returned late, to a holder that has
// restarted or lost its place, must not let the workspace exceed its quota.
func TestFuzzQuotaWithReturnsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkQuotaUnderFaults(rt, rapid.Float64Range(0.1, 0.9).Draw(rt, "not run"))
	})
}

func checkQuotaUnderFaults(rt *rapid.T, notRunFraction float64) {
	rate := float64(rapid.IntRange(20, 300).Draw(rt, "rate"))
	sim := newQuotaSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "regions"),
		rapid.IntRange(1, 2).Draw(rt, "zones"), rapid.IntRange(1, 4).Draw(rt, "instances a zone"), rate)
	sim.notRunFraction = notRunFraction
	n := len(sim.instances)
	evenWeights := slices.Repeat([]float64{1 / float64(n)}, n)
	for range 160 {
		sim.step(0.6*rate, evenWeights)
	}
	for range rapid.IntRange(1, 8).Draw(rt, "faults") {
		sim.applyFault(rapid.IntRange(0, 6).Draw(rt, "fault"), rapid.IntRange(0, n-1).Draw(rt, "instance"))
		factor := rapid.Float64Range(0.5, 6).Draw(rt, "demand")
		for range rapid.IntRange(5, 100).Draw(rt, "steps") {
			sim.step(factor*rate, evenWeights)
		}
	}
	bound := (rate*5+rate)*1.1 + 20
	if largest := sim.maxInWindow(); float64(largest) > bound {
		rt.Fatalf("%d requests were admitted in a window, above the limit of %.0f", largest, bound)
	}
}

// Demand begins everywhere at once, as after a restart of all instances. Each instance
// received the others' demand before its own counted, so that the shares added up to only
// 0.73 of the quota for half a second.
func TestSharesCoverMostOfQuotaWhileDemandRises(t *testing.T) {
	sim := newQuotaSimulation(3, 3, 2, 2, 300)
	evenWeights := slices.Repeat([]float64{1 / float64(len(sim.instances))}, len(sim.instances))
	for range 60 {
		sim.step(0, evenWeights)
	}
	smallest := 1.0
	for range 60 {
		sim.step(0.6*300, evenWeights)
		sum := 0.0
		for _, e := range sim.instances {
			sum += e.pools.Shares()["azul"]
		}
		smallest = min(smallest, sum)
	}
	if smallest < 0.8 {
		t.Fatalf("the shares of all zones add up to only %.3f of the quota while demand rises", smallest)
	}
}
