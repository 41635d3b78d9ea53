package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/catalog"
	"lovagescale/internal/placement"
	"lovagescale/internal/settings"
	"lovagescale/internal/upstream"
	"lovagescale/internal/weighted"
)

// largeResponse is a response of the largest size of the deployments.
var largeResponse = bytes.Repeat([]byte("0123456789"), 54_000)

// smallestMemory is the memory of the smallest instances.
const smallestMemory = 184 << 20

// loadlessCallers is a CallerDialect whose endpoints report no load.
type loadlessCallers struct{ plainCallers }

func (loadlessCallers) ParseReportedLoad(http.Header) (placement.ReportedLoad, bool, error) {
	return placement.ReportedLoad{}, false, nil
}
func (loadlessCallers) PromisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable
}

// servingInstance is an instance with one endpoint.
type servingInstance struct {
	edge    *Edge
	address string
	// largeRuns counts the requests for the large response that the endpoint ran.
	largeRuns atomic.Int64
}

// serveSmallestInstance serves callers with the memory of the smallest instances. Its
// endpoint answers /act/large with largeResponse, /drip/large with one byte per second of it
// and anything else with 1,500 bytes.
func serveSmallestInstance(t *testing.T) *servingInstance {
	g := NewWithT(t)
	s := &servingInstance{}
	endpoint := httptest.NewServer(http.HandlerFunc(s.serveEndpoint))
	t.Cleanup(endpoint.CloseClientConnections)
	bounds := DefaultBounds()
	bounds.StopGrace = 400 * time.Millisecond
	dialect := &upstream.Dialect{
		RequestIDHeader: "Id", TimeoutHeader: "Timeout",
		NotRun: func(int, http.Header) bool { return false }, Leaving: func(http.Header) bool { return false },
		Pause: func(int, http.Header) (time.Duration, error) { return 0, nil },
		Limit: func(http.Header) (float64, bool, error) { return 0, false, nil },
	}
	e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Zones: map[string]string{"north-1": "north"},
		Process: settings.Process{MemoryMB: smallestMemory >> 20}, Bounds: bounds}, Ports{Callers: loadlessCallers{}, Upstreams: dialect}, zerolog.Nop())
	var routes []*catalog.Route
	for name, timeout := range map[string]time.Duration{"act": 10 * time.Second, "see": 10 * time.Second, "drip": 1500 * time.Millisecond} {
		routes = append(routes, &catalog.Route{Name: name, Host: "example.com", Prefix: "/" + name + "/", MaxAttempts: 1,
			Timeout: timeout, Upstreams: []weighted.Weight{{Name: "files", Weight: 1}}})
	}
	upstreams := []catalog.Upstream{{Name: "files", MaxConnections: 1000}}
	e.catalog.Store(catalog.New(1, routes, upstreams, nil, catalog.Limits{}))
	g.Expect(e.state.register(time.Now(), placement.Record{ID: "e1", StartMillis: 1, Upstream: "files",
		Address: endpoint.Listener.Addr().String(), Zone: "north-1", Slots: 1000})).To(BeTrue())
	e.state.publishTable(time.Now())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.serveCallers(ctx, smallBufferListener{listener}) }()
	t.Cleanup(func() { stop(); <-done })
	s.edge, s.address = e, listener.Addr().String()
	return s
}

func (s *servingInstance) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	switch r.URL.Path {
	case "/act/large":
		s.largeRuns.Add(1)
		w.Header().Set("Content-Length", strconv.Itoa(len(largeResponse)))
		_, _ = w.Write(largeResponse)
	case "/drip/large":
		w.Header().Set("Content-Length", strconv.Itoa(len(largeResponse)))
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
		}
	default:
		_, _ = w.Write(make([]byte, 1500))
	}
}

// smallBufferListener limits the send buffers of connections, so that unread responses stay
// in the process and not in the kernel.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return conn, err
}

// get returns the status and the length of the complete response, or an error.
func (s *servingInstance) get(path string) (status, length int, err error) {
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(s.request(path))
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}

func (s *servingInstance) request(path string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.address+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = "example.com"
	return r
}

// ask sends a request on a connection with a small receive buffer and reads nothing.
func (s *servingInstance) ask(t *testing.T, path string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := s.request(path).Write(conn); err != nil {
		t.Fatal(err)
	}
	return conn
}

// heldBytes returns the memory that is held for requests, without that of connections and their
// buffers.
func (s *servingInstance) heldBytes() int64 {
	return s.edge.memory.Used() - s.edge.memory.UsedBy(bodymemory.Connections) - s.edge.memory.UsedBy(bodymemory.Buffers)
}

// disconnected returns the number of callers that were disconnected for a reason.
func (s *servingInstance) disconnected(reason bodymemory.Reason) int64 {
	return metrics.GetOrRegisterCounter("edge.callers.disconnected."+string(reason), s.edge.registry).Count()
}

// residentBytes returns the resident memory of the process.
func residentBytes() int64 {
	status, _ := os.ReadFile("/proc/self/status")
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes int64
	_, _ = fmt.Sscan(after, &kilobytes)
	return kilobytes << 10
}

// Callers that stop reading held their responses in memory without a limit: 400 of them
// took 216 MB of an instance with 184 MB.
func TestCallersThatStopReadingTakeBoundedMemory(t *testing.T) {
	g := NewWithT(t)
	bodymemory.LimitHeap(smallestMemory)
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	s := serveSmallestInstance(t)
	_, _, err := s.get("/act/large") // from now on the size of the response is expected
	g.Expect(err).NotTo(HaveOccurred())
	for range 400 {
		s.ask(t, "/act/large")
	}
	peak := int64(0)
	serveOthers := func(path string, length int, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			status, read, err := s.get(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]int{status, read}).To(Equal([]int{http.StatusOK, length}))
			peak = max(peak, residentBytes())
		}
	}
	serveOthers("/see/small", 1500, 2500*time.Millisecond)
	limit := s.edge.memory.Limit()
	g.Expect(s.edge.memory.Used()).To(BeNumerically(">", limit*3/4), "the callers hold their responses")
	g.Expect(s.largeRuns.Load()).To(BeNumerically("<", 400), "a request whose response cannot be held is not sent")
	serveOthers("/act/large", len(largeResponse), time.Second)
	g.Expect(s.disconnected(bodymemory.Slowest)).To(BeNumerically(">", 0))

	g.Eventually(s.heldBytes, "20s", "50ms").Should(BeNumerically("<=", limit/2))
	g.Expect(s.disconnected(bodymemory.Stalled)).To(BeNumerically(">", 0))
	g.Expect(peak).To(BeNumerically("<", smallestMemory))
	t.Logf("peak of the resident memory: %d MB", peak>>20)
}

// Memory of a peak stayed with the process until the collector ran the next time, two
// minutes later if the instance was idle.
func TestMemoryOfAPeakIsReturned(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	var callers []net.Conn
	for range 60 {
		callers = append(callers, s.ask(t, "/act/large"))
	}
	g.Eventually(s.heldBytes, "10s").Should(BeNumerically(">=", 60*len(largeResponse)))
	peak := residentBytes()
	for _, conn := range callers {
		g.Expect(conn.Close()).To(Succeed())
	}
	g.Eventually(s.heldBytes, "10s").Should(BeZero())
	g.Eventually(residentBytes, "10s", "50ms").Should(BeNumerically("<", peak-30*int64(len(largeResponse))))
}

// A caller that reads one byte per second kept its memory for as long as it liked, while
// others were refused.
func TestSlowestReaderGivesWay(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	slow := s.ask(t, "/act/large")
	g.Eventually(s.heldBytes, "10s").Should(BeNumerically(">=", len(largeResponse)))
	for range 3 {
		_, err := slow.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
	}
	for range 3 {
		status, _, err := s.get("/act/large")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
	g.Expect(s.disconnected(bodymemory.Slowest)).To(BeZero(), "memory is plentiful")

	g.Eventually(s.heldBytes, "10s").Should(BeEquivalentTo(len(largeResponse)), "only the slow caller's response is held")
	filler, err := s.edge.memory.Reserve(bodymemory.ReadAhead, s.edge.memory.Limit()*7/8-int64(len(largeResponse)*5/4))
	g.Expect(err).NotTo(HaveOccurred())
	defer filler.Release()
	status, length, err := s.get("/act/large")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]int{status, length}).To(Equal([]int{http.StatusOK, len(largeResponse)}))
	g.Expect(s.disconnected(bodymemory.Slowest)).To(BeEquivalentTo(1))
	g.Expect(slow.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	rest, err := io.ReadAll(slow)
	g.Expect(len(rest)).To(BeNumerically("<", len(largeResponse)))
	g.Expect(err).To(MatchError(syscall.ECONNRESET), "the caller finds its response truncated")
}

// The memory of a response whose endpoint sends one byte per second must be free again at
// the deadline of its request.
func TestSlowEndpointHoldsMemoryUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	statuses := make(chan int, 1)
	go func() {
		status, _, _ := s.get("/drip/large")
		statuses <- status
	}()
	g.Eventually(s.heldBytes, "10s").Should(BeEquivalentTo(len(largeResponse)))
	g.Expect(s.edge.memory.Describe().Holders[0].Route).To(Equal("drip"))
	status, _, err := s.get("/see/small")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Eventually(statuses, "10s").Should(Receive(Equal(http.StatusGatewayTimeout)))
	g.Eventually(s.heldBytes, "10s").Should(BeZero())
}

// A response that announces more than fits ended the connection as if the endpoint had
// failed. Its status must not promise that the request did not run.
func TestResponseWithoutMemoryIsNotTheEndpointsFailure(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	filler, err := s.edge.memory.Reserve(bodymemory.ReadAhead, s.edge.memory.Limit()*7/8)
	g.Expect(err).NotTo(HaveOccurred())
	status, _, err := s.get("/act/large")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(metrics.GetOrRegisterCounter("edge.tries.lost", s.edge.registry).Count()).To(BeZero())
	g.Eventually(s.heldBytes, "10s").Should(Equal(filler.Size()))

	s.edge.responseSizes.Observe("act", int64(len(largeResponse)))
	status, _, err = s.get("/act/large")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(s.largeRuns.Load()).To(BeEquivalentTo(1), "the request was not sent")
}
