package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"lovagescale/internal/store"
)

// maxValueBytes is the largest value that the platform's store accepts.
const maxValueBytes = 1 << 20

// StoreFaults selects the faults of the store.
type StoreFaults struct {
	// Down refuses every call and ends waiting watches.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int64 `json:"slow_ms"`
	// LoseReplyCount is the number of writes to come that take effect, but whose reply is
	// lost. Lease calls count as writes.
	LoseReplyCount int `json:"lose_replies"`
}

// Store imitates the platform's key-value store.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	revision uint64
	entries  map[string]store.Entry
	leases   map[store.LeaseID]*lease
	faults   StoreFaults
	calls    map[string]int
	changed  chan struct{}
}

type lease struct {
	ttl      time.Duration
	lapsesAt time.Time
}

// NewStore returns an empty store that uses now as its clock.
func NewStore(now func() time.Time) *Store {
	return &Store{
		now:     now,
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]*lease),
		calls:   make(map[string]int),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults and wakes waiting watches.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// Calls returns the number of calls. The map's keys are the caller and the operation,
// separated by a space.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// notifyWatches lets all waiting watches check for a change. The caller must hold the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeLapsedLeases removes lapsed leases and their keys. The caller must hold the lock.
func (s *Store) removeLapsedLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.lapsesAt) {
			continue
		}
		delete(s.leases, id)
		s.removeKeysOf(id)
	}
}

// LapseLeases lets every lease lapse now, which removes its keys.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.lapsesAt = s.now()
	}
	s.removeLapsedLeases()
}

func (s *Store) removeKeysOf(id store.LeaseID) {
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.revision++
			delete(s.entries, key)
			s.notifyWatches()
		}
	}
}

// ServeHTTP implements the HTTP binding of package store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operation, handle := s.route(r)
	s.mu.Lock()
	s.calls[r.Header.Get(store.HeaderCaller)+" "+operation]++
	faults := s.faults
	s.mu.Unlock()
	if !sleepUnlessCancelled(r, time.Duration(faults.SlowMillis)*time.Millisecond) {
		return
	}
	if faults.Down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	handle(w, r)
}

// sleepUnlessCancelled waits for the delay. It returns false if the request is cancelled
// before.
func sleepUnlessCancelled(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(delay):
		return true
	}
}

func (s *Store) route(r *http.Request) (string, http.HandlerFunc) {
	switch {
	case strings.HasPrefix(r.URL.Path, store.PathKey) && r.Method == http.MethodPut:
		return "set", s.set
	case strings.HasPrefix(r.URL.Path, store.PathKey) && r.Method == http.MethodDelete:
		return "delete", s.remove
	case strings.HasPrefix(r.URL.Path, store.PathKey) && r.URL.Query().Has("after"):
		return "watch", s.watch
	case strings.HasPrefix(r.URL.Path, store.PathKey):
		return "get", s.get
	case strings.HasPrefix(r.URL.Path, store.PathList):
		return "list", s.list
	case r.URL.Path == store.PathLeases:
		return "grant", s.grant
	case r.URL.Path == store.PathLeaseRenew:
		return "renew", s.renew
	default:
		return "unknown", http.NotFound
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.removeLapsedLeases()
	entry, found := s.entries[strings.TrimPrefix(r.URL.Path, store.PathKey)]
	s.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix := strings.TrimPrefix(r.URL.Path, store.PathList)
	found := []store.Entry{}
	s.mu.Lock()
	s.removeLapsedLeases()
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, s.entries[key])
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, found)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, store.PathKey)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.removeLapsedLeases()
		entry, found := s.entries[key]
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		if found && entry.Revision > after {
			writeJSON(w, http.StatusOK, entry)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) set(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(value) > maxValueBytes {
		http.Error(w, "value is larger than 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	entry := store.Entry{
		Key:   strings.TrimPrefix(r.URL.Path, store.PathKey),
		Value: value,
		Lease: store.LeaseID(r.URL.Query().Get("lease")),
	}
	s.mu.Lock()
	s.removeLapsedLeases()
	if _, live := s.leases[entry.Lease]; entry.Lease != "" && !live {
		s.mu.Unlock()
		w.WriteHeader(http.StatusGone)
		return
	}
	if found := s.entries[entry.Key].Revision; found != expect {
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, store.ConflictReply{Found: found})
		return
	}
	s.revision++
	entry.Revision = s.revision
	s.entries[entry.Key] = entry
	s.notifyWatches()
	s.mu.Unlock()
	s.replyToWrite(w, store.Entry{Key: entry.Key, Revision: entry.Revision})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, store.PathKey)
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	s.mu.Lock()
	s.removeLapsedLeases()
	entry, found := s.entries[key]
	if !found {
		s.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	if entry.Revision != expect {
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, store.ConflictReply{Found: entry.Revision})
		return
	}
	s.revision++
	delete(s.entries, key)
	s.notifyWatches()
	s.mu.Unlock()
	s.replyToWrite(w, store.Entry{Key: key})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request store.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := store.LeaseID(uuid.NewString())
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.mu.Lock()
	s.leases[id] = &lease{ttl: ttl, lapsesAt: s.now().Add(ttl)}
	s.mu.Unlock()
	s.replyToWrite(w, store.LeaseReply{Lease: id})
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	var request store.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.removeLapsedLeases()
	l, live := s.leases[request.Lease]
	if live {
		l.lapsesAt = s.now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !live {
		w.WriteHeader(http.StatusGone)
		return
	}
	s.replyToWrite(w, store.LeaseReply{Lease: request.Lease})
}

// replyToWrite answers a write that took effect, or closes the connection without an answer
// if the reply is to be lost.
func (s *Store) replyToWrite(w http.ResponseWriter, body any) {
	s.mu.Lock()
	lose := s.faults.LoseReplyCount > 0
	if lose {
		s.faults.LoseReplyCount--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
