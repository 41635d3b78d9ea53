package edge

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/call"
	"lovagescale/internal/catalog"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/weighted"
)

// plainCallers is a CallerDialect whose requests state nothing.
type plainCallers struct{ CallerDialect }

func (plainCallers) ParseCallerInfo(*http.Request) CallerInfo { return CallerInfo{} }
func (plainCallers) RewriteHeader(http.Header, string)        {}
func (plainCallers) WriteRefusal(w http.ResponseWriter, _ string, r *refusal.Refusal) {
	w.WriteHeader(r.Status)
}

// newServingEdge returns an instance with one route, /act/, and memory for large bodies of
// 100 kB in total.
func newServingEdge() *Edge {
	e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Zones: map[string]string{"north-1": "north"},
		Bounds: DefaultBounds()}, Ports{Callers: plainCallers{}}, zerolog.Nop())
	e.initMemory(bodymemory.New(100_000 * 8 / 7))
	route := &catalog.Route{Name: "act", Host: "example.com", Prefix: "/act/", MaxAttempts: 1, Upstreams: []weighted.Weight{{Name: "files", Weight: 1}}}
	e.catalog.Store(catalog.New(1, []*catalog.Route{route}, nil, nil, catalog.Limits{MaxBodyBytes: 80_000}))
	return e
}

// post sends a request with a body and returns the status. The length of the body is
// stated only if known is set.
func post(e *Edge, target, body string, known bool) int {
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if !known {
		r.ContentLength = -1
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Code
}

// Requests that were refused after their body had been read kept its memory, so that an
// instance refused all bodies in the end.
func TestRefusedRequestsReleaseTheirBody(t *testing.T) {
	g := NewWithT(t)
	e := newServingEdge()
	poison := strings.Repeat("x", 60_000)
	fingerprint := quarantine.FingerprintOf(&call.Call{Service: "act", Request: upstream.Request{Method: http.MethodPost, Target: "/act/poison", Body: []byte(poison)}})
	for _, endpoint := range []string{"e1", "e2", "e3"} {
		e.quarantine.addStrike(time.Now(), newStrike(fingerprint, endpoint))
	}
	for _, known := range []bool{true, false} {
		for range 3 {
			g.Expect(post(e, "/act/poison", poison, known)).To(Equal(http.StatusServiceUnavailable))
			g.Expect(e.memory.Used()).To(BeZero())
		}
	}
}

func TestBodiesOfUnknownLengthReserveMemory(t *testing.T) {
	g := NewWithT(t)
	e := newServingEdge()
	read := func(body io.Reader) (*bodymemory.Reservation, []byte, error) {
		reservation, err := e.memory.Reserve(bodymemory.RequestBody, 0)
		g.Expect(err).NotTo(HaveOccurred())
		content, err := reservation.ReadBody(body, -1)
		return reservation, content, err
	}
	reservation, held, err := read(strings.NewReader(strings.Repeat("x", 70_000)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held).To(HaveLen(70_000))
	g.Expect(reservation.Size()).To(BeNumerically(">=", 70_000))
	g.Expect(e.memory.Used()).To(Equal(reservation.Size()))
	for _, known := range []bool{true, false} {
		g.Expect(post(e, "/act/1", strings.Repeat("y", 70_000), known)).To(Equal(http.StatusServiceUnavailable), "no memory is left")
	}
	g.Expect(e.memory.Used()).To(Equal(reservation.Size()))
	reservation.Release()

	reservation, _, err = read(iotest.ErrReader(http.ErrBodyReadAfterClose))
	g.Expect(err).To(MatchError(http.ErrBodyReadAfterClose))
	reservation.Release()
	g.Expect(e.memory.Used()).To(BeZero())

	text := strings.Repeat("0123456789", 20)
	reservation, content, err := read(iotest.OneByteReader(strings.NewReader(text)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(content, []byte(text))).To(BeTrue())
	reservation.Release()
	g.Expect(e.memory.Used()).To(BeZero())
}
