package routing

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/upstream"
)

// maxTrackedWorkspaces limits the number of workspaces in workspaceStats. Further ones are
// not counted until the next reset.
const maxTrackedWorkspaces = 4096

type routerMetrics struct {
	registry                                  metrics.Registry
	retries, hedges, retryBudgetEmpty         metrics.Counter
	noFreeSlot, waitedForSlot, shedByUpstream metrics.Counter
	ejections, quarantineRefusals             metrics.Counter
	worstShare, worstLatencyMillis            metrics.GaugeFloat64
}

func newRouterMetrics(registry metrics.Registry) *routerMetrics {
	newCounter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("routing."+name, registry)
	}
	return &routerMetrics{
		registry:           registry,
		retries:            newCounter("retries"),
		hedges:             newCounter("hedges"),
		retryBudgetEmpty:   newCounter("retry_budget_empty"),
		noFreeSlot:         newCounter("no_free_slot"),
		waitedForSlot:      newCounter("waited_for_slot"),
		shedByUpstream:     newCounter("shed_by_upstream"),
		ejections:          newCounter("ejections"),
		quarantineRefusals: newCounter("quarantine_refusals"),
		worstShare:         metrics.GetOrRegisterGaugeFloat64("routing.worst_workspace_share", registry),
		worstLatencyMillis: metrics.GetOrRegisterGaugeFloat64("routing.worst_workspace_latency_ms", registry),
	}
}

func (m *routerMetrics) countFailure(phase upstream.Phase) {
	metrics.GetOrRegisterCounter("routing.failed_at_"+string(phase), m.registry).Inc(1)
}

// workspaceStats holds the requests and latencies of each workspace since the last reset.
type workspaceStats struct {
	mu          sync.Mutex
	byWorkspace map[string]*workspaceStat
}

type workspaceStat struct {
	requests, admitted int // admitted requests are those that got a slot
	completed          int // admitted requests that ended, with or without an answer
	totalLatency       time.Duration
}

func (w *workspaceStats) init() { w.byWorkspace = make(map[string]*workspaceStat) }

// statFor returns the counts of the workspace. Beyond maxTrackedWorkspaces it returns counts
// that are not kept. The caller holds w.mu.
func (w *workspaceStats) statFor(workspace string) *workspaceStat {
	s, found := w.byWorkspace[workspace]
	if !found {
		s = &workspaceStat{}
		if len(w.byWorkspace) < maxTrackedWorkspaces {
			w.byWorkspace[workspace] = s
		}
	}
	return s
}

func (w *workspaceStats) recordRequest(workspace string, admitted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.statFor(workspace)
	s.requests++
	if admitted {
		s.admitted++
	}
}

func (w *workspaceStats) recordCompletion(workspace string, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.statFor(workspace)
	s.completed++
	s.totalLatency += elapsed
}

// WorstServed names the workspaces that were served worst since the last reset.
type WorstServed struct {
	// ShareWorkspace got slots for the smallest Share of its requests. It is empty, with
	// a Share of 1, if every request got a slot.
	ShareWorkspace string  `json:"share_workspace"`
	Share          float64 `json:"share"`
	// LatencyWorkspace had the highest mean latency, LatencyMillis.
	LatencyWorkspace string  `json:"latency_workspace"`
	LatencyMillis    float64 `json:"latency_ms"`
}

// takeWorst returns the worst-served workspaces and resets all counts.
func (w *workspaceStats) takeWorst() WorstServed {
	w.mu.Lock()
	defer w.mu.Unlock()
	worst := WorstServed{Share: 1}
	for name, s := range w.byWorkspace {
		if s.requests > 0 {
			share := float64(s.admitted) / float64(s.requests)
			if share < worst.Share || (share == worst.Share && strings.Compare(name, worst.ShareWorkspace) < 0) {
				worst.Share, worst.ShareWorkspace = share, name
			}
		}
		if s.completed > 0 {
			millis := float64(s.totalLatency) / float64(s.completed) / float64(time.Millisecond)
			if millis > worst.LatencyMillis {
				worst.LatencyMillis, worst.LatencyWorkspace = millis, name
			}
		}
	}
	clear(w.byWorkspace)
	return worst
}

// PublishWorstServed sets the metrics of the worst-served workspaces, returns these
// workspaces and resets the counts.
func (r *Router) PublishWorstServed() WorstServed {
	worst := r.workspaceStats.takeWorst()
	r.metrics.worstShare.Update(worst.Share)
	r.metrics.worstLatencyMillis.Update(worst.LatencyMillis)
	return worst
}
