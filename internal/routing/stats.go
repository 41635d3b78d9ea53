package routing

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/upstream"
)

// maxWorkspaces bounds the workspaces whose service is counted.
const maxWorkspaces = 4096

// instruments are the router's metrics.
type instruments struct {
	registry                       metrics.Registry
	retries, hedges, budgetEmpty   metrics.Counter
	full, waited, shed             metrics.Counter
	ejected, quarantined           metrics.Counter
	worstShare, worstLatencyMillis metrics.GaugeFloat64
}

func newInstruments(registry metrics.Registry) *instruments {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("routing."+name, registry)
	}
	return &instruments{
		registry:           registry,
		retries:            counter("retries"),
		hedges:             counter("hedges"),
		budgetEmpty:        counter("retry_budget_empty"),
		full:               counter("no_free_slot"),
		waited:             counter("waited_for_slot"),
		shed:               counter("shed_by_upstream"),
		ejected:            counter("ejections"),
		quarantined:        counter("quarantine_refusals"),
		worstShare:         metrics.GetOrRegisterGaugeFloat64("routing.worst_workspace_share", registry),
		worstLatencyMillis: metrics.GetOrRegisterGaugeFloat64("routing.worst_workspace_latency_ms", registry),
	}
}

func (i *instruments) failed(phase upstream.Phase) {
	metrics.GetOrRegisterCounter("routing.failed_at_"+string(phase), i.registry).Inc(1)
}

// workspaceStats counts how workspaces are served since the last reading.
type workspaceStats struct {
	mu          sync.Mutex
	byWorkspace map[string]*workspaceStat
}

type workspaceStat struct {
	asked, got int
	answers    int
	latency    time.Duration // sum
}

func (w *workspaceStats) init() { w.byWorkspace = make(map[string]*workspaceStat) }

// of must be called with the lock held.
func (w *workspaceStats) of(workspace string) *workspaceStat {
	s, found := w.byWorkspace[workspace]
	if !found {
		s = &workspaceStat{}
		if len(w.byWorkspace) < maxWorkspaces {
			w.byWorkspace[workspace] = s
		}
	}
	return s
}

func (w *workspaceStats) asked(workspace string, got bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.of(workspace)
	s.asked++
	if got {
		s.got++
	}
}

func (w *workspaceStats) served(workspace string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.of(workspace)
	s.answers++
	s.latency += took
}

// Worst is how the worst-served workspaces fared since the last reading.
type Worst struct {
	// ShareWorkspace got a slot for the smallest Share of its requests.
	ShareWorkspace string  `json:"share_workspace"`
	Share          float64 `json:"share"`
	// LatencyWorkspace had the highest mean latency.
	LatencyWorkspace string  `json:"latency_workspace"`
	LatencyMillis    float64 `json:"latency_ms"`
}

// take returns the worst and starts over.
func (w *workspaceStats) take() Worst {
	w.mu.Lock()
	defer w.mu.Unlock()
	worst := Worst{Share: 1}
	for name, s := range w.byWorkspace {
		if s.asked > 0 {
			share := float64(s.got) / float64(s.asked)
			if share < worst.Share || (share == worst.Share && strings.Compare(name, worst.ShareWorkspace) < 0) {
				worst.Share, worst.ShareWorkspace = share, name
			}
		}
		if s.answers > 0 {
			millis := float64(s.latency) / float64(s.answers) / float64(time.Millisecond)
			if millis > worst.LatencyMillis {
				worst.LatencyMillis, worst.LatencyWorkspace = millis, name
			}
		}
	}
	clear(w.byWorkspace)
	return worst
}

// Publish updates the metrics of the worst-served workspaces and returns them.
func (r *Router) Publish() Worst {
	worst := r.workspaces.take()
	r.metrics.worstShare.Update(worst.Share)
	r.metrics.worstLatencyMillis.Update(worst.LatencyMillis)
	return worst
}
