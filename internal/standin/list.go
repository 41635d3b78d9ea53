package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"lovagescale/internal/instancelist"
)

// ListFaults selects the faults of the instance list.
type ListFaults struct {
	Down bool `json:"down"`
	// LagMillis is the age of the version that the list shows.
	LagMillis int64 `json:"lag_ms"`
}

// List imitates the platform's list of instances, which can lag behind.
type List struct {
	now func() time.Time

	mu       sync.Mutex
	faults   ListFaults
	versions []listVersion
}

// listVersion is the content of the list from one change to the next.
type listVersion struct {
	since     time.Time
	instances map[string]instancelist.Instance
}

// NewList returns a list that holds the given instances.
func NewList(now func() time.Time, instances []instancelist.Instance) *List {
	first := listVersion{instances: make(map[string]instancelist.Instance)}
	for _, instance := range instances {
		first.instances[instance.ID] = instance
	}
	return &List{now: now, versions: []listVersion{first}}
}

// SetFaults replaces the faults.
func (l *List) SetFaults(faults ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Put adds or replaces an instance by its identifier. An instance in state "gone" is
// removed.
func (l *List) Put(instance instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.versions[len(l.versions)-1]
	next := listVersion{since: l.now(), instances: maps.Clone(latest.instances)}
	if instance.State == instancelist.Gone {
		delete(next.instances, instance.ID)
	} else {
		next.instances[instance.ID] = instance
	}
	l.versions = append(l.versions, next)
}

// ServeHTTP answers with the list as it was LagMillis ago.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down := l.faults.Down
	shownAt := l.now().Add(-time.Duration(l.faults.LagMillis) * time.Millisecond)
	shown := l.versions[0]
	for _, version := range l.versions {
		if !version.since.After(shownAt) {
			shown = version
		}
	}
	l.mu.Unlock()
	if down {
		http.Error(w, "instance list is down", http.StatusServiceUnavailable)
		return
	}
	instances := make([]instancelist.Instance, 0, len(shown.instances))
	for _, id := range slices.Sorted(maps.Keys(shown.instances)) {
		instances = append(instances, shown.instances[id])
	}
	writeJSON(w, http.StatusOK, instances)
}

func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	var instance instancelist.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}
