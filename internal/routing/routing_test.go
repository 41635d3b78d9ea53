package routing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// upstreamServer is an endpoint that runs a handler of the test.
type upstreamServer struct {
	address string
	runs    atomic.Int64 // requests other than health probes
}

// abortConnection handles a request by closing its connection without an answer, as a
// crash of the endpoint does.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func startUpstream(t *testing.T, handle http.HandlerFunc) *upstreamServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstreamServer{address: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != upstream.PathHealth {
			u.runs.Add(1)
		}
		handle(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return u
}

// echo sends a complete answer with the identifier of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	_, _ = io.WriteString(w, "body of "+r.URL.Path)
}

// optionsWithoutTimers returns options that switch off hedging, waiting for slots and the
// delayed release of slots.
func optionsWithoutTimers() Options {
	return Options{HedgeBelow: -1, QueueWait: -1, CancelLinger: -1}
}

func newRouter(slots int, options Options, upstreams ...*upstreamServer) *Router {
	router := NewWithOptions("i", "z", rand.New(rand.NewPCG(1, 1)), metrics.NewRegistry(), options)
	var addresses []string
	for _, u := range upstreams {
		addresses = append(addresses, u.address)
	}
	router.ApplyConfiguration(testConfiguration(slots, addresses))
	return router
}

func testConfiguration(slots int, addresses []string) *configuration.Configuration {
	return &configuration.Configuration{Revision: 1, Services: map[string]configuration.Service{
		"s": {Name: "s", Slots: slots, Connections: slots, Endpoints: map[string][]string{"z": addresses}},
	}}
}

var lastID atomic.Int64

func newCall(kind configuration.RouteKind, path string) *call.Call {
	id := fmt.Sprint("id", lastID.Add(1))
	return &call.Call{ID: id, Workspace: "w", Service: "s", Kind: kind,
		Request: upstream.Request{ID: id, Method: http.MethodGet, Target: path, Header: http.Header{}}}
}

func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	errors.As(err, &r)
	return r
}

func (r *Router) endpointOfServer(u *upstreamServer) *endpoint {
	return r.endpoints[endpointKey("s", u.address)]
}

// An answer that belongs to another request, is cut off or is missing must not reach the
// caller. A lookup is retried at another endpoint; an action is not retried.
func TestOnlyCompleteMatchingAnswersReachCaller(t *testing.T) {
	for name, faultyHandler := range map[string]http.HandlerFunc{
		"crossed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, "another")
		},
		"cut": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			echo(w, r)
		},
		"none": abortConnection,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			faulty, answering := startUpstream(t, faultyHandler), startUpstream(t, echo)
			for range 6 {
				router := newRouter(1, optionsWithoutTimers(), faulty, answering)
				result, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(result.Answer.Body)).To(gomega.Equal("body of /x"))
				g.Expect(router.endpointOfServer(faulty).pool.OpenConnections()).To(gomega.BeZero())
			}
			g.Expect(faulty.runs.Load()).To(gomega.BeNumerically(">", 0))
			_, err := newRouter(1, optionsWithoutTimers(), faulty).Serve(t.Context(), newCall(configuration.Action, "/x"))
			g.Expect(asRefusal(err).Outcome).To(gomega.Equal(refusal.Unknown))
		})
	}
}

// An action is retried after an endpoint stated that it did not run it, but not after a
// dropped connection, since it may have run.
func TestActionIsRetriedOnlyIfItCannotHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	refusing := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	crashing := startUpstream(t, abortConnection)
	answering := startUpstream(t, echo)
	for range 6 {
		_, err := newRouter(1, optionsWithoutTimers(), refusing, answering).Serve(t.Context(), newCall(configuration.Action, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(refusing.runs.Load()).To(gomega.BeNumerically(">", 0))
	_, err := newRouter(1, optionsWithoutTimers(), refusing).Serve(t.Context(), newCall(configuration.Action, "/x"))
	g.Expect(asRefusal(err).Outcome).To(gomega.Equal(refusal.NotRun))
	_, err = newRouter(1, optionsWithoutTimers(), crashing, crashing).Serve(t.Context(), newCall(configuration.Action, "/x"))
	g.Expect(asRefusal(err).Outcome).To(gomega.Equal(refusal.Unknown))
	g.Expect(crashing.runs.Load()).To(gomega.Equal(int64(1)))
}

func TestRequestsNeedUnexpiredRights(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	options := optionsWithoutTimers()
	options.Now = func() time.Time { return now }
	server := startUpstream(t, echo)
	router := newRouter(1, options, server)
	key := endpointKey("s", server.address)
	for _, c := range []struct {
		held   []Right
		expiry time.Time
		runs   int64
	}{
		{nil, now.Add(time.Second), 0},
		{[]Right{{Key: key, SlotDivisor: 2}}, now.Add(time.Second), 0},
		{[]Right{{Key: key, SlotDivisor: 1}}, now, 0},
		{[]Right{{Key: key, SlotDivisor: 2, TakesRemainder: true}}, now.Add(time.Second), 1},
	} {
		router.SetRights(c.held, c.expiry)
		_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
		g.Expect(err == nil).To(gomega.Equal(c.runs == 1))
		g.Expect(server.runs.Load()).To(gomega.Equal(c.runs))
	}
}

// An endpoint that a configuration drops and a later one lists again must still count its
// requests in flight. Otherwise more requests than slots would run at it.
func TestSlotsAreNotExceededWhenAnEndpointIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	server := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		echo(w, r)
	})
	router := newRouter(1, optionsWithoutTimers(), server)
	done := make(chan error, 1)
	go func() {
		_, err := router.Serve(context.Background(), newCall(configuration.Lookup, "/x"))
		done <- err
	}()
	<-arrived
	router.ApplyConfiguration(testConfiguration(1, nil))
	router.ApplyConfiguration(testConfiguration(1, []string{server.address}))
	_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/y"))
	g.Expect(asRefusal(err).Kind).To(gomega.Equal(refusal.NoCapacity))
	close(release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	g.Expect(router.InFlight(endpointKey("s", server.address))).To(gomega.BeZero())
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	draining := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderDraining, "true")
		echo(w, r)
	})
	healthy := startUpstream(t, echo)
	router := newRouter(2, optionsWithoutTimers(), draining, healthy)
	for range 20 {
		_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(draining.runs.Load()).To(gomega.Equal(int64(1)))
}

func TestRequestsAreServedWhenAllEndpointsDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startUpstream(t, echo), startUpstream(t, echo)
	router := newRouter(2, optionsWithoutTimers(), a, b)
	report := func(u *upstreamServer) {
		router.endpointOfServer(u).updateHealth(func(h *health) {
			h.applyReport(time.Now(), upstream.Report{Draining: true}, 0, 2, time.Hour)
		})
	}
	report(a)
	for range 10 {
		_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.runs.Load()).To(gomega.BeZero())
	report(b)
	_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestRequestThatBreaksTwoConnectionsIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	var upstreams []*upstreamServer
	for range 4 {
		upstreams = append(upstreams, startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				abortConnection(w, r)
			}
			echo(w, r)
		}))
	}
	router := newRouter(2, optionsWithoutTimers(), upstreams...)
	var announced []quarantine.Strike
	router.OnStrike(func(s quarantine.Strike) { announced = append(announced, s) })
	for range 5 {
		_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/bad"))
		g.Expect(err).To(gomega.HaveOccurred())
	}
	_, err := router.Serve(t.Context(), newCall(configuration.Action, "/bad"))
	g.Expect(asRefusal(err).Kind).To(gomega.Equal(refusal.Quarantined))
	g.Expect(asRefusal(err).Outcome).To(gomega.Equal(refusal.NotRun))
	runs := int64(0)
	for _, u := range upstreams {
		runs += u.runs.Load()
	}
	g.Expect(runs).To(gomega.Equal(int64(2)))
	_, err = router.Serve(t.Context(), newCall(configuration.Lookup, "/good"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(announced).To(gomega.HaveLen(2))

	otherRouter := newRouter(2, optionsWithoutTimers(), upstreams...)
	for _, s := range announced {
		otherRouter.RecordRemoteStrike(s)
	}
	_, err = otherRouter.Serve(t.Context(), newCall(configuration.Lookup, "/bad"))
	g.Expect(asRefusal(err).Kind).To(gomega.Equal(refusal.Quarantined))
}

// When several endpoints crash at the same time, a request is retried at one after another
// of them. That must not quarantine the request, which did not cause the crashes.
func TestSimultaneousCrashesQuarantineNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var allCrash atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if allCrash.Load() {
			abortConnection(w, r)
		}
		echo(w, r)
	}
	options := optionsWithoutTimers()
	now := time.Unix(1000, 0)
	options.Now = func() time.Time { return now }
	router := newRouter(2, options, startUpstream(t, handle), startUpstream(t, handle), startUpstream(t, handle))
	allCrash.Store(true)
	for range 6 {
		_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/innocent"))
		g.Expect(asRefusal(err).Kind).NotTo(gomega.Equal(refusal.Quarantined))
	}
	allCrash.Store(false)
	now = now.Add(time.Hour)
	_, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/innocent"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, quarantined := router.QuarantineCounts()
	g.Expect(quarantined).To(gomega.BeZero())
}

// A lookup that is slow at one endpoint is answered by another, and the slow attempt is
// cancelled at its upstream.
func TestSlowLookupIsHedgedAndSlowAttemptCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := make(chan struct{}, 1)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	handle := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			<-r.Context().Done()
			cancelled <- struct{}{}
		default:
			echo(w, r)
		}
	}
	options := Options{HedgeAfter: time.Millisecond, HedgeBelow: 1}
	router := newRouter(2, options, startUpstream(t, handle), startUpstream(t, handle))
	result, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(result.Answer.Body)).To(gomega.Equal("body of /x"))
	<-cancelled
	g.Expect(router.metrics.hedges.Count()).To(gomega.Equal(int64(1)))
}

func TestLoadSwitchesHedgingOff(t *testing.T) {
	g := gomega.NewWithT(t)
	router := newRouter(10, Options{HedgeBelow: 0.5}, startUpstream(t, echo), startUpstream(t, echo))
	s := router.table.Load().services["s"]
	criteria := &selectionCriteria{service: s, attempted: s.endpoints[:1]}
	s.endpoints[0].inFlight.Store(10)
	g.Expect(router.acquireHedgeEndpoint(t.Context(), newCall(configuration.Lookup, "/x"), criteria)).NotTo(gomega.BeNil())
	s.endpoints[1].inFlight.Store(1)
	g.Expect(router.acquireHedgeEndpoint(t.Context(), newCall(configuration.Lookup, "/x"), criteria)).To(gomega.BeNil())
}

// An upstream may send a late second answer on an idle connection. It must not be taken for
// the answer to the next request.
func TestConnectionWithLateAnswerIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			incoming, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				answer := "HTTP/1.1 200 OK\r\nLovage-Request-Id: " + incoming.Header.Get(upstream.HeaderRequestID) + "\r\nContent-Length: 2\r\n\r\nok"
				_, _ = io.WriteString(conn, answer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			}
		}
	}()
	router := newRouter(1, optionsWithoutTimers(), &upstreamServer{address: listener.Addr().String()})
	for range 5 {
		result, err := router.Serve(t.Context(), newCall(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(result.Answer.Body)).To(gomega.Equal("ok"))
	}
}

// With a limit of one connection, an action, which needs a new one, replaces the idle one.
// While the connection is in use others are refused, and the endpoint is not marked down.
func TestConnectionsStayWithinLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	server := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	router := newRouter(2, optionsWithoutTimers(), server)
	pool := router.endpointOfServer(server).pool
	pool.SetLimits(1, 1)
	for _, kind := range []configuration.RouteKind{configuration.Lookup, configuration.Action, configuration.Action} {
		_, err := router.Serve(t.Context(), newCall(kind, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(pool.OpenConnections()).To(gomega.Equal(1))
	}
	done := make(chan error, 1)
	go func() {
		_, err := router.Serve(context.Background(), newCall(configuration.Lookup, "/held"))
		done <- err
	}()
	<-arrived
	_, err := router.Serve(t.Context(), newCall(configuration.Action, "/y"))
	g.Expect(asRefusal(err).Outcome).To(gomega.Equal(refusal.NotRun))
	g.Expect(router.endpointOfServer(server).healthSnapshot().downUntil.IsZero()).To(gomega.BeTrue())
	close(release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	g.Expect(pool.OpenConnections()).To(gomega.Equal(1))
}
