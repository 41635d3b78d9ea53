package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request at an endpoint.
type run struct {
	id, method, target, tenant, endpoint, body string
	arrivedAt, beganAt, endedAt                time.Time
	// executed is set if the endpoint began to work on the request.
	executed bool
	status   int
	// brokeOff is set if the endpoint itself ended the connection within its answer or before.
	brokeOff bool
	// dropped is set if the caller closed the connection before the answer was written.
	dropped bool
	sent    string
}

// runs is what all endpoints together have seen.
type runs struct {
	mu   sync.Mutex
	all  []*run
	byID map[string][]*run
}

func newRuns() *runs { return &runs{byID: map[string][]*run{}} }

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
	r.byID[x.id] = append(r.byID[x.id], x)
}

// endpoint is a stand-in of an endpoint: it works on as many requests as it has slots and
// lets a few more wait.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	seen                       *runs
	tokens                     chan struct{}
	// work returns how long the endpoint works on a request.
	work func(x *run) time.Duration
	// size returns the size of an answer.
	size func(x *run) int

	// fatal reports whether a request crashes the endpoint, which it does crashAfter after it
	// began, whether or not its caller is still there.
	fatal   func(x *run) bool
	crashed func(at time.Time)

	listener         net.Listener
	mu               sync.Mutex
	seq              int
	running, waiting int
	conns            map[net.Conn]bool
	down             bool
}

// crashAfter is how long an endpoint works on a request that crashes it.
const crashAfter = 300 * time.Millisecond

func newEndpoint(id, service, zone string, slots int, seen *runs) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), seen: seen, tokens: make(chan struct{}, slots),
		work:  func(*run) time.Duration { return 20 * time.Millisecond },
		size:  func(*run) int { return rand.IntN(3000) },
		fatal: func(*run) bool { return false }, crashed: func(time.Time) {}, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if e.keep(c) {
				go e.serve(c)
			}
		}
	}()
	return e, nil
}

// keep notes a connection, so that a crash ends it.
func (e *endpoint) keep(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		_ = c.Close()
		return false
	}
	e.conns[c] = true
	return true
}

// crash ends the endpoint with all its connections.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.crashed(time.Now())
}

// register writes the endpoint's entry into the store.
func (e *endpoint) register(s *store, state string) {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	s.put("servers/"+e.id, map[string]any{"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1",
		"slots": e.slots, "state": state, "cold-left-s": 0, "seq": seq, "born": e.born})
}

func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
}

func (e *endpoint) count(running, waiting int) {
	e.mu.Lock()
	e.running += running
	e.waiting += waiting
	e.mu.Unlock()
}

func (e *endpoint) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := &run{id: r.Header.Get("Attempt-Id"), method: r.Method, target: r.RequestURI, tenant: r.Header.Get("Tenant"),
			endpoint: e.id, body: string(body), arrivedAt: time.Now()}
		if named := r.Header.Get("Target-Instance"); named != "" && named != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", x.id, e.id)
			continue
		}
		e.seen.add(x)
		if !e.run(c, reader, x) {
			return
		}
	}
}

// run works on a request and answers it. It reports whether the connection stays open.
func (e *endpoint) run(c net.Conn, reader *bufio.Reader, x *run) bool {
	gone := make(chan struct{})
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := reader.Peek(1); err != nil {
			select {
			case <-stop:
			default:
				close(gone)
			}
		}
	}()
	defer func() {
		close(stop)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-watched
		_ = c.SetReadDeadline(time.Time{})
	}()
	e.count(0, 1)
	select {
	case e.tokens <- struct{}{}:
		e.count(1, -1)
	case <-gone:
		e.count(0, -1)
		x.dropped = true
		return false
	}
	defer func() { <-e.tokens; e.count(-1, 0) }()
	x.executed, x.beganAt = true, time.Now()
	if e.fatal(x) {
		time.Sleep(crashAfter)
		x.brokeOff = true
		e.crash()
		return false
	}
	timer := time.NewTimer(e.work(x))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		x.dropped, x.endedAt = true, time.Now()
		return false
	}
	x.endedAt = time.Now()
	return e.answer(c, x)
}

func (e *endpoint) answer(c net.Conn, x *run) bool {
	x.status = 200
	x.sent = "done " + x.id + " by " + e.id + " " + padding(e.size(x))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s.%s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		x.id, e.id, x.id, e.load(), len(x.sent), x.sent)
	return err == nil
}

func padding(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	return string(b)
}
