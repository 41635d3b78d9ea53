package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint began to work on, or rejected.
type run struct {
	at                           time.Time
	endpoint, attempt            string
	method, target, body, tenant string
	executed, crashed            bool
	// endedAt is when the endpoint was done with it, or dropped it since its connection was
	// closed.
	endedAt time.Time
	dropped bool
}

// service holds the endpoints of a deployment and what reached them.
type service struct {
	store *store
	rec   *record
	mu    sync.Mutex
	runs  []run
}

// endpoint is one endpoint, over all its lifetimes.
type endpoint struct {
	service           *service
	name, group, zone string
	slots             int
	// work is how long a request takes.
	work func(r *http.Request) time.Duration
	// crashes reports whether the endpoint crashes when it begins to run the request. It is
	// then back after down.
	crashes func(r *http.Request) bool
	down    time.Duration
	// keepID lets the endpoint start again under the id that it had.
	keepID bool

	mu       sync.Mutex
	listener net.Listener
	address  string
	id       string
	starts   int
	conns    map[net.Conn]bool
}

// tenantRate is rate-per-s and burst of all tenants.
var tenantRate = 186.0

// coldStart is cold-start-s of all services.
const coldStart = 3.0

// start begins a lifetime and registers it in the store. The entry stays as it is, since an
// entry changes only when more than seq changes.
func (e *endpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		// On a host of its own no outgoing connection takes the port while the endpoint is down.
		address = hostOf(100+int(endpointCount.Add(1))) + ":0"
	}
	l, err := net.Listen("tcp", address)
	cannotRun(err)
	e.listener, e.address, e.conns = l, l.Addr().String(), map[net.Conn]bool{}
	e.starts++
	if !e.keepID || e.id == "" {
		e.id = fmt.Sprintf("i-%x", sha256.Sum256(fmt.Appendf(nil, "%s/%d", e.name, e.starts)))[:12]
	}
	coldLeft := 0.0
	if e.starts > 1 { // it starts during traffic
		coldLeft = coldStart
	}
	go e.accept(l, e.id)
	e.service.store.put("servers/"+e.id, map[string]any{"service": e.group, "addr": e.address, "zone": e.zone,
		"version": "v1", "slots": e.slots, "state": "ready", "cold-left-s": coldLeft, "seq": 1, "born": time.Now().UnixMilli()})
	e.service.rec.add("endpoint %s starts as %s at %s", e.name, e.id, e.address)
}

func (e *endpoint) accept(l net.Listener, id string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.listener != l {
			e.mu.Unlock()
			_ = conn.Close()
			return
		}
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn, id)
	}
}

// crash ends the lifetime: the port refuses connections and open ones are reset. The entry
// goes after three beats of silence, unless the endpoint is back under its id by then.
func (e *endpoint) crash(id string) {
	e.mu.Lock()
	if e.id != id || e.listener == nil {
		e.mu.Unlock()
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.service.rec.add("endpoint %s (%s) crashes", e.name, id)
	if !e.keepID {
		time.AfterFunc(4500*time.Millisecond, func() { e.service.store.remove("servers/" + id) })
	}
	time.AfterFunc(e.down, e.start)
}

func (e *endpoint) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener != nil
}

func (e *endpoint) serve(conn net.Conn, id string) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(conn, reader, id, r, string(body)) {
			return
		}
	}
}

func (e *endpoint) answer(conn net.Conn, reader *bufio.Reader, id string, r *http.Request, body string) bool {
	attempt := r.Header.Get("Attempt-Id")
	this := run{at: time.Now(), endpoint: id, attempt: attempt, method: r.Method, target: r.RequestURI, body: body,
		tenant: r.Header.Get("Tenant"), executed: r.Header.Get("Target-Instance") == id && attempt != ""}
	this.crashed = this.executed && e.crashes != nil && e.crashes(r)
	e.service.mu.Lock()
	number := len(e.service.runs)
	e.service.runs = append(e.service.runs, this)
	e.service.mu.Unlock()
	if !this.executed {
		return reply(conn, "421 Misdirected Request", attempt, "Instance-Id: "+id+"\r\n", "")
	}
	if this.crashed {
		e.service.rec.add("request %s (%s %s) begins to run at %s", attempt, r.Method, r.RequestURI, id)
		e.crash(id)
		return false
	}
	dropped := e.work != nil && !workFor(conn, reader, e.work(r))
	e.service.mu.Lock()
	e.service.runs[number].endedAt, e.service.runs[number].dropped = time.Now(), dropped
	e.service.mu.Unlock()
	if dropped {
		return false
	}
	load := fmt.Sprintf("Server-Load: 1,0,%d\r\n", e.slots)
	return reply(conn, "200 OK", attempt, "Response-Stamp: stamp-"+attempt+"\r\n"+load, "whole body for "+attempt)
}

// workFor works for a time. It returns false if the connection is closed meanwhile.
func workFor(conn net.Conn, reader *bufio.Reader, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1) // no further request comes before the answer
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	return err == nil
}

func reply(conn net.Conn, status, attempt, fields, body string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nAttempt-Id: "+attempt+"\r\n"+fields+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

var endpointCount atomic.Int64

// host is the host of all routes.
const host = "desk.example"

// route is a route of the configuration.
type route struct {
	name, prefix, service, kind string
	timeoutS                    float64
}

// configuration is what the operator writes to op/config.
type configuration struct {
	version  int
	routes   []route
	services []string
	// keys are the keys of each tenant.
	keys map[string][]string
}

func (c configuration) value() any {
	var resources []map[string]any
	add := func(kind string, name string, spec map[string]any) {
		metadata := map[string]any{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, map[string]any{"entry-kind": kind, "metadata": metadata, "spec": spec})
	}
	for _, r := range c.routes {
		add("routes", r.name, map[string]any{"host": host, "path-prefix": r.prefix, "kind": r.kind, "timeout-s": r.timeoutS,
			"goal-s": 0.2, "priority": 1, "service": r.service, "max-attempts": 2, "public": false, "sticky": true, "home-regions": []string{}})
	}
	for _, s := range c.services {
		add("services", s, map[string]any{"health-path": "/health", "max-conns": 330, "protocol": "h1", "tls": false, "cold-start-s": coldStart, "cold-per-s": 10.0})
	}
	for tenant, keys := range c.keys {
		add("tenants", tenant, map[string]any{"api-keys": keys, "priority": 0, "rate-per-s": tenantRate, "burst": tenantRate, "home-regions": []string{}})
	}
	add("limits", "", map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15})
	return map[string]any{"version": fmt.Sprintf("%08x", c.version), "resources": resources}
}

// result is what a client got for a request.
type result struct {
	sentAt time.Time
	status int
	body   string
	err    error
	// retryAfter is the time after which the client is asked to come back.
	retryAfter time.Duration
}

// client sends requests as PROTOCOL.md describes them.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func (c *client) send(i *instance, attempt, method, target, key, affinity, body string, deadline time.Duration) result {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+i.front+target, reader)
	cannotRun(err)
	r.Host = host
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+key)
	if affinity != "" {
		r.Header.Set("Cookie", "Affinity-Key="+affinity)
	}
	res := result{sentAt: time.Now()}
	response, err := c.http.Do(r)
	if err != nil {
		res.err = err
		return res
	}
	defer response.Body.Close()
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(after * float64(time.Second))
	}
	data, err := io.ReadAll(response.Body)
	res.status, res.body, res.err = response.StatusCode, string(data), err
	return res
}
