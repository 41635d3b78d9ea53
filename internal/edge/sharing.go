package edge

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/admission"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
)

// sharing divides scarce slots among workspaces and classes, see package admission.
type sharing struct {
	gate *admission.Gate
	// weights are the weights of the catalog's workspaces. Only the control loop uses them.
	weights        admission.Weights
	weightsVersion uint64
	// use is the demand and use at this instance as of the last tick. Only the control loop
	// uses it.
	use fleet.SlotSums
}

// shareDecision is what the gate decided on a request.
type shareDecision struct {
	// excess is set if the request is beyond the share of its workspace.
	excess bool
	reason admission.Reason
	// random is the random number that decides how far such a request may queue.
	random float64
}

// ExceedsShareError reports that there was no room for a request beyond the share of its
// workspace. Demand and share are in slots of all instances.
type ExceedsShareError struct {
	Upstream, Workspace string
	Class               int
	Reason              admission.Reason
	Demand, Share       float64
	Cause               error
}

// Error implements the error interface.
func (e *ExceedsShareError) Error() string {
	return fmt.Sprintf("workspace %q asks for %.2f slots of upstream %q in class %d and its share is %.2f (%s): %v",
		e.Workspace, e.Demand, e.Upstream, e.Class, e.Share, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ExceedsShareError) Unwrap() error { return e.Cause }

func (q *request) class() int { return q.catalog.Rank(q.route, q.workspace) }

// compareWithShare counts a request and compares it with the share of its workspace.
func (e *Edge) compareWithShare(q *request) {
	within, reason := e.sharing.gate.Admit(time.Now(), q.upstream, q.workspaceName(), q.class(), rand.Float64())
	q.share = shareDecision{excess: !within, reason: reason, random: rand.Float64()}
	if !within {
		e.counters.countSeries("edge.admission", q.upstream, "excess")
	}
}

// withdrawDemand takes a request that its workspace's quota refused from the demand on slots.
func (e *Edge) withdrawDemand(q *request) {
	e.sharing.gate.Withdraw(q.upstream, q.workspaceName(), q.class())
}

// limitByShare returns the utilization up to which an endpoint takes the request; limit is the
// one for requests within their share.
func (q *request) limitByShare(limit float64) float64 {
	if !q.share.excess {
		return limit
	}
	return admission.ExcessLimit(limit, q.share.random)
}

// recordNoRoom records that a request found no endpoint with room, and returns the cause to
// log.
func (e *Edge) recordNoRoom(q *request, cause error) error {
	e.sharing.gate.RecordRefusal(q.upstream, q.workspaceName(), q.class())
	if !q.share.excess {
		return cause
	}
	e.counters.countSeries("edge.admission", q.upstream, "refused")
	demand, share := e.sharing.gate.Share(q.upstream, q.workspaceName(), q.class())
	return &ExceedsShareError{Upstream: q.upstream, Workspace: q.workspaceName(), Class: q.class(), Reason: q.share.reason,
		Demand: demand, Share: share, Cause: cause}
}

// recordSlotTime records the time for which an attempt occupied a slot. latencyRatio is the
// duration divided by the usual one, or 0 if unknown. The time at an endpoint of another region
// is derived from it, because the duration contains the latency between the regions.
func (e *Edge) recordSlotTime(q *request, endpoint *placement.Endpoint, result placement.Result, took time.Duration, latencyRatio float64) {
	if !mayHaveRun(result) {
		return
	}
	if q.pinned {
		e.stats.RecordSlotTime(q.upstream, q.region, took)
	}
	if endpoint.Region != e.settings.Region && latencyRatio > 0 {
		took = time.Duration(latencyRatio * float64(e.stats.ServiceTime(q.upstream)))
	}
	e.sharing.gate.RecordUse(q.upstream, q.workspaceName(), q.class(), took)
}

// updateShares divides the slots anew by the demand and use on all instances.
func (s *state) updateShares(now time.Time, elapsed time.Duration) {
	e := s.edge
	e.sharing.gate.Tick(elapsed)
	c := e.catalog.Load()
	if c == nil || !c.KeysRequired() {
		e.sharing.use = nil
		return
	}
	e.sharing.use = e.sharing.gate.Use()
	if e.sharing.weightsVersion != c.Version {
		e.sharing.weights, e.sharing.weightsVersion = weightsOf(c), c.Version
	}
	others, madeAt, known := s.fleet.PeerSlots(now)
	if !known && s.fleet.Size() > 1 {
		return // the shares expire
	}
	if !known {
		madeAt = now
	}
	e.sharing.gate.Update(madeAt, e.sharing.use, others, e.sharing.weights)
}

// weightsOf returns the weights of workspaces, which are their rates. A workspace without a
// limit counts like the one with the highest rate.
func weightsOf(c *catalog.Catalog) admission.Weights {
	w := admission.Weights{ByWorkspace: make(map[string]float64), Default: 0}
	for name, workspace := range c.Workspaces {
		if workspace.Rate > 0 {
			w.ByWorkspace[name] = workspace.Rate
			w.Default = max(w.Default, workspace.Rate)
			w.Total += workspace.Rate
		}
	}
	if w.Default <= 0 {
		w.Default = 1
	}
	w.Total += w.Default * float64(len(c.Workspaces)-len(w.ByWorkspace))
	return w
}

// addSlotDemand adds the demand on slots to the activity of this instance, whose workspaces
// must be set already.
func (s *state) addSlotDemand(activity *fleet.Activity) {
	activity.RoundRates()
	activity.SlotDemand = s.edge.sharing.use.Encode(activity.WorkspaceDemand)
}

// updateShareGauges sets the gauges of the upstreams' shares, in hundredths of a slot.
func (e *Edge) updateShareGauges() {
	for _, u := range e.sharing.gate.Describe() {
		set := func(name string, value float64) {
			metrics.GetOrRegisterGauge("edge.admission."+u.Upstream+"."+name, e.registry).Update(int64(value))
		}
		scarce := 0.0
		if u.Scarce {
			scarce = 1
		}
		set("scarce", scarce)
		set("used", 100*u.Used)
		set("demand", 100*u.Demand)
		set("refused_slots", 100*u.Refused)
	}
}
