package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as it is sent in bodies.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store as PROTOCOL.md describes it. It keeps its whole
// history and all revisions.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
}

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// serve serves the store on a free loopback port and returns its address.
func (s *store) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return l.Addr().String()
}

// put writes an entry as the operator or an endpoint does. It returns when the store has
// accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	cannotRun(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Removed: true})
	return time.Now()
}

func (s *store) write(i item) {
	s.revision++
	i.Revision = s.revision
	i.Created = s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for _, key := range s.keys("") {
			if s.items[key].Lease == id {
				s.write(item{Key: key, Removed: true})
			}
		}
	}
}

func (s *store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if r.URL.Path == "/kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	s.expire()
	status, body := s.call(r)
	s.mu.Unlock()
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) call(r *http.Request) (int, any) {
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number, _ := strconv.ParseUint(id, 10, 64)
	query := r.URL.Query()
	switch name {
	case "kv-key":
		i, found := s.items[query.Get("key")]
		if !found {
			return 404, map[string]any{"store-revision": s.revision}
		}
		return 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": s.revision}
	case "kv-range":
		items, more := []item{}, false
		for _, key := range s.keys(query.Get("path-prefix")) {
			if key <= query.Get("after") {
				continue
			}
			if len(items) == 500 {
				more = true
				break
			}
			items = append(items, s.items[key])
		}
		return 200, map[string]any{"items": items, "has-more": more, "store-revision": s.revision}
	case "kv-lease":
		var body struct {
			TTL float64 `json:"ttl-s_time"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1 || body.TTL > 600 {
			return 400, nil
		}
		s.revision++
		ttl := time.Duration(body.TTL * float64(time.Second))
		s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.revision, "ttl-s_time": body.TTL}
	case "kv-keep":
		l, found := s.leases[number]
		if !found {
			return 404, nil
		}
		s.leases[number] = lease{l.ttl, time.Now().Add(l.ttl)}
		return 200, map[string]any{"lease": number, "ttl-s_time": l.ttl.Seconds()}
	case "kv-lease-end":
		if l, found := s.leases[number]; found {
			s.leases[number] = lease{l.ttl, time.Now()}
			s.expire()
		}
		return 200, map[string]any{}
	case "kv-txn":
		return s.transact(r)
	}
	return 404, nil
}

func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return 400, nil
	}
	for _, p := range body.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			return 412, map[string]any{"items": []item{}}
		}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
		}
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return 404, nil
		}
	}
	for _, p := range body.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Deletes {
		s.write(item{Key: key, Removed: true})
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}
