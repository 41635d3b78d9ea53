package edge

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

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

// newServingEdge returns an instance with one route, /act/, and memory for bodies of 100 kB
// in total.
func newServingEdge() *Edge {
	e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Zones: map[string]string{"north-1": "north"},
		MemoryBytes: 100_000 * bodyMemoryDivisor, Bounds: DefaultBounds()}, Ports{Callers: plainCallers{}}, zerolog.Nop())
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
			g.Expect(e.bodyMemory.used.Load()).To(BeZero())
		}
	}
}

func TestBodiesOfUnknownLengthReserveMemory(t *testing.T) {
	g := NewWithT(t)
	e := newServingEdge()
	held, reserved, err := e.bodyMemory.read(strings.NewReader(strings.Repeat("x", 70_000)), -1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held).To(HaveLen(70_000))
	g.Expect(reserved).To(BeNumerically(">=", 70_000))
	g.Expect(e.bodyMemory.used.Load()).To(Equal(reserved))
	for _, known := range []bool{true, false} {
		g.Expect(post(e, "/act/1", strings.Repeat("y", 70_000), known)).To(Equal(http.StatusServiceUnavailable), "no memory is left")
	}
	g.Expect(e.bodyMemory.used.Load()).To(Equal(reserved))
	e.bodyMemory.release(reserved)

	_, reserved, err = e.bodyMemory.read(iotest.ErrReader(http.ErrBodyReadAfterClose), -1)
	g.Expect(err).To(MatchError(http.ErrBodyReadAfterClose))
	e.bodyMemory.release(reserved)
	g.Expect(e.bodyMemory.used.Load()).To(BeZero())

	text := strings.Repeat("0123456789", 20)
	read, reserved, err := e.bodyMemory.read(iotest.OneByteReader(strings.NewReader(text)), -1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(read, []byte(text))).To(BeTrue())
	e.bodyMemory.release(reserved)
}
