package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. It listens at one address for each
// machine.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

// listen serves the store at a free loopback address and returns that.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	return address, nil
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) write(i item) uint64 {
	s.revision++
	i.Revision = s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if old, found := s.items[i.Key]; found {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
	return s.revision
}

func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.write(item{Key: key, Removed: true})
	}
}

// expire ends the leases whose time has passed.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
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
	sort.Strings(keys)
	return keys
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
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
	if body == nil {
		body = map[string]any{}
	}
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
			return 404, nil
		}
		return 200, i
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
		if json.NewDecoder(r.Body).Decode(&body) != nil {
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
		l.ends = time.Now().Add(l.ttl)
		s.leases[number] = l
		return 200, map[string]any{"lease": number, "ttl-s_time": l.ttl.Seconds()}
	case "kv-lease-end":
		if l, found := s.leases[number]; found {
			l.ends = time.Time{}
			s.leases[number] = l
			s.expire()
		}
		return 200, nil
	case "kv-txn":
		return s.transact(r)
	}
	return 404, nil
}

func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Deletes      []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return 400, nil
	}
	for _, p := range body.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			return 412, nil
		}
	}
	for _, p := range body.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return 404, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
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
	millis, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
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
		case <-timer.C:
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}
