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

// upstreamServer is an endpoint whose behaviour a test gives.
type upstreamServer struct {
	address string
	runs    atomic.Int64
}

// crash closes the connection of a request without an answer.
func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func serveUpstream(t *testing.T, handle http.HandlerFunc) *upstreamServer {
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

// echo answers whole and matching.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	_, _ = io.WriteString(w, "body of "+r.URL.Path)
}

// still is options without what acts by time.
func still() Options {
	return Options{HedgeBelow: -1, QueueWait: -1, CancelLinger: -1}
}

func newRouter(slots int, options Options, upstreams ...*upstreamServer) *Router {
	router := NewWithOptions("i", "z", rand.New(rand.NewPCG(1, 1)), metrics.NewRegistry(), options)
	var addresses []string
	for _, u := range upstreams {
		addresses = append(addresses, u.address)
	}
	router.Apply(testConfiguration(slots, addresses))
	return router
}

func testConfiguration(slots int, addresses []string) *configuration.Configuration {
	return &configuration.Configuration{Revision: 1, Services: map[string]configuration.Service{
		"s": {Name: "s", Slots: slots, Connections: slots, Endpoints: map[string][]string{"z": addresses}},
	}}
}

var lastID atomic.Int64

func request(kind configuration.RouteKind, path string) *call.Call {
	id := fmt.Sprint("id", lastID.Add(1))
	return &call.Call{ID: id, Workspace: "w", Service: "s", Kind: kind,
		Request: upstream.Request{ID: id, Method: http.MethodGet, Target: path, Header: http.Header{}}}
}

func refused(err error) *refusal.Refusal {
	var r *refusal.Refusal
	errors.As(err, &r)
	return r
}

func (r *Router) endpointOf(u *upstreamServer) *endpoint { return r.known[keyOf("s", u.address)] }

// A crossed, cut or missing answer of one endpoint never reaches the caller; a
// lookup gets its answer from another endpoint, an action is not run again.
func TestOnlyWholeMatchingAnswersReachTheCaller(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{
		"crossed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, "another")
		},
		"cut": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			echo(w, r)
		},
		"none": crash,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			bad, good := serveUpstream(t, broken), serveUpstream(t, echo)
			for range 6 {
				router := newRouter(1, still(), bad, good)
				result, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(result.Answer.Body)).To(gomega.Equal("body of /x"))
				g.Expect(router.endpointOf(bad).pool.Open()).To(gomega.BeZero())
			}
			g.Expect(bad.runs.Load()).To(gomega.BeNumerically(">", 0))
			_, err := newRouter(1, still(), bad).Serve(t.Context(), request(configuration.Action, "/x"))
			g.Expect(refused(err).Outcome).To(gomega.Equal(refusal.Unknown))
		})
	}
}

func TestAnActionIsTriedAgainOnlyIfItCannotHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	shed := serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	lost := serveUpstream(t, crash)
	good := serveUpstream(t, echo)
	for range 6 {
		_, err := newRouter(1, still(), shed, good).Serve(t.Context(), request(configuration.Action, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(shed.runs.Load()).To(gomega.BeNumerically(">", 0))
	_, err := newRouter(1, still(), shed).Serve(t.Context(), request(configuration.Action, "/x"))
	g.Expect(refused(err).Outcome).To(gomega.Equal(refusal.NotRun))
	_, err = newRouter(1, still(), lost, lost).Serve(t.Context(), request(configuration.Action, "/x"))
	g.Expect(refused(err).Outcome).To(gomega.Equal(refusal.Unknown))
	g.Expect(lost.runs.Load()).To(gomega.Equal(int64(1)))
}

func TestRightsThatAreMissingOrExpiredStopRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	options := still()
	options.Now = func() time.Time { return now }
	good := serveUpstream(t, echo)
	router := newRouter(1, options, good)
	key := keyOf("s", good.address)
	for _, c := range []struct {
		held   []Right
		expiry time.Time
		runs   int64
	}{
		{nil, now.Add(time.Second), 0},
		{[]Right{{Key: key, Of: 2}}, now.Add(time.Second), 0},
		{[]Right{{Key: key, Of: 1}}, now, 0},
		{[]Right{{Key: key, Of: 2, First: true}}, now.Add(time.Second), 1},
	} {
		router.SetOwned(c.held, c.expiry)
		_, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
		g.Expect(err == nil).To(gomega.Equal(c.runs == 1))
		g.Expect(good.runs.Load()).To(gomega.Equal(c.runs))
	}
}

// The slot counts of an endpoint that leaves the configuration and comes back
// still hold its requests in flight.
func TestSlotsAreNotExceededWhenAnEndpointIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	u := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		echo(w, r)
	})
	router := newRouter(1, still(), u)
	done := make(chan error, 1)
	go func() {
		_, err := router.Serve(context.Background(), request(configuration.Lookup, "/x"))
		done <- err
	}()
	<-arrived
	router.Apply(testConfiguration(1, nil))
	router.Apply(testConfiguration(1, []string{u.address}))
	_, err := router.Serve(t.Context(), request(configuration.Lookup, "/y"))
	g.Expect(refused(err).Kind).To(gomega.Equal(refusal.NoCapacity))
	close(release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	g.Expect(router.InFlight(keyOf("s", u.address))).To(gomega.BeZero())
}

func TestADrainingEndpointGetsNoNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	leaving := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderDraining, "true")
		echo(w, r)
	})
	staying := serveUpstream(t, echo)
	router := newRouter(2, still(), leaving, staying)
	for range 20 {
		_, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(leaving.runs.Load()).To(gomega.Equal(int64(1)))
}

func TestReportsOfDrainingNeverEmptyTheSet(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := serveUpstream(t, echo), serveUpstream(t, echo)
	router := newRouter(2, still(), a, b)
	report := func(u *upstreamServer) {
		router.endpointOf(u).change(func(h *health) {
			h.report(time.Now(), upstream.Report{Draining: true}, 0, 2, time.Hour)
		})
	}
	report(a)
	for range 10 {
		_, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.runs.Load()).To(gomega.BeZero())
	report(b)
	_, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestARequestThatCostTwoConnectionsIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	var upstreams []*upstreamServer
	for range 4 {
		upstreams = append(upstreams, serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				crash(w, r)
			}
			echo(w, r)
		}))
	}
	router := newRouter(2, still(), upstreams...)
	var told []quarantine.Strike
	router.OnStrike(func(s quarantine.Strike) { told = append(told, s) })
	for range 5 {
		_, err := router.Serve(t.Context(), request(configuration.Lookup, "/bad"))
		g.Expect(err).To(gomega.HaveOccurred())
	}
	_, err := router.Serve(t.Context(), request(configuration.Action, "/bad"))
	g.Expect(refused(err).Kind).To(gomega.Equal(refusal.Quarantined))
	g.Expect(refused(err).Outcome).To(gomega.Equal(refusal.NotRun))
	runs := int64(0)
	for _, u := range upstreams {
		runs += u.runs.Load()
	}
	g.Expect(runs).To(gomega.Equal(int64(2)))
	_, err = router.Serve(t.Context(), request(configuration.Lookup, "/good"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(told).To(gomega.HaveLen(2))

	other := newRouter(2, still(), upstreams...)
	for _, s := range told {
		other.Strike(s)
	}
	_, err = other.Serve(t.Context(), request(configuration.Lookup, "/bad"))
	g.Expect(refused(err).Kind).To(gomega.Equal(refusal.Quarantined))
}

// Endpoints that die together cost the requests in flight their connections,
// one after the other; that is no reason for quarantine.
func TestEndpointsThatDieTogetherQuarantineNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var dead atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if dead.Load() {
			crash(w, r)
		}
		echo(w, r)
	}
	options := still()
	now := time.Unix(1000, 0)
	options.Now = func() time.Time { return now }
	router := newRouter(2, options, serveUpstream(t, handle), serveUpstream(t, handle), serveUpstream(t, handle))
	dead.Store(true)
	for range 6 {
		_, err := router.Serve(t.Context(), request(configuration.Lookup, "/innocent"))
		g.Expect(refused(err).Kind).NotTo(gomega.Equal(refusal.Quarantined))
	}
	dead.Store(false)
	now = now.Add(time.Hour)
	_, err := router.Serve(t.Context(), request(configuration.Lookup, "/innocent"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, quarantined := router.Quarantine()
	g.Expect(quarantined).To(gomega.BeZero())
}

// A lookup that is slow at one endpoint is answered by another; the slow try is
// cancelled at its upstream.
func TestASlowLookupIsHedgedAndTheSlowTryCancelled(t *testing.T) {
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
	router := newRouter(2, options, serveUpstream(t, handle), serveUpstream(t, handle))
	result, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(result.Answer.Body)).To(gomega.Equal("body of /x"))
	<-cancelled
	g.Expect(router.metrics.hedges.Count()).To(gomega.Equal(int64(1)))
}

func TestLoadSwitchesHedgingOff(t *testing.T) {
	g := gomega.NewWithT(t)
	router := newRouter(10, Options{HedgeBelow: 0.5}, serveUpstream(t, echo), serveUpstream(t, echo))
	s := router.current.Load().services["s"]
	d := &demand{service: s, tried: s.endpoints[:1]}
	s.endpoints[0].inFlight.Store(10)
	g.Expect(router.hedge(t.Context(), request(configuration.Lookup, "/x"), d)).NotTo(gomega.BeNil())
	s.endpoints[1].inFlight.Store(1)
	g.Expect(router.hedge(t.Context(), request(configuration.Lookup, "/x"), d)).To(gomega.BeNil())
}

// An upstream that sends a late second answer on an idle connection does not
// have it taken for the answer to the next request.
func TestAConnectionWithALateAnswerIsNotUsedAgain(t *testing.T) {
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
	router := newRouter(1, still(), &upstreamServer{address: listener.Addr().String()})
	for range 5 {
		result, err := router.Serve(t.Context(), request(configuration.Lookup, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(result.Answer.Body)).To(gomega.Equal("ok"))
	}
}

// With one connection allowed, an action, which needs a new one, takes the place
// of an idle one, and a second request at once finds none.
func TestConnectionsStayWithinTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	u := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	router := newRouter(2, still(), u)
	pool := router.endpointOf(u).pool
	pool.SetLimits(1, 1)
	for _, kind := range []configuration.RouteKind{configuration.Lookup, configuration.Action, configuration.Action} {
		_, err := router.Serve(t.Context(), request(kind, "/x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(pool.Open()).To(gomega.Equal(1))
	}
	done := make(chan error, 1)
	go func() {
		_, err := router.Serve(context.Background(), request(configuration.Lookup, "/held"))
		done <- err
	}()
	<-arrived
	_, err := router.Serve(t.Context(), request(configuration.Action, "/y"))
	g.Expect(refused(err).Outcome).To(gomega.Equal(refusal.NotRun))
	g.Expect(router.endpointOf(u).look().downUntil.IsZero()).To(gomega.BeTrue())
	close(release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	g.Expect(pool.Open()).To(gomega.Equal(1))
}
