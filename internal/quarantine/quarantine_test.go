package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lovagescale/internal/call"
	"lovagescale/internal/upstream"
)

func request(workspace, key, body string) Fingerprint {
	return Of(&call.Call{Workspace: workspace, Service: "s", IdempotencyKey: key,
		Request: upstream.Request{Method: "POST", Target: "/x", Body: []byte(body)}})
}

func TestFingerprintLeavesOutTheIdempotencyKey(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(request("w", "k1", "b")).To(gomega.Equal(request("w", "k2", "b")))
	g.Expect(request("w", "k1", "b")).NotTo(gomega.Equal(request("w", "k1", "c")))
	g.Expect(request("w", "k1", "b")).NotTo(gomega.Equal(request("v", "k1", "b")))
}

func TestTwoStrikesQuarantineForTheTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Options{})
	f := request("w", "", "b")
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.Quarantined(now, f)).To(gomega.BeZero())
	later := now.Add(defaultMemory + 1)
	g.Expect(table.Add(later, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.Quarantined(later, f)).To(gomega.BeZero())
	now = later
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e2"})).To(gomega.BeFalse())
	g.Expect(table.Quarantined(now, f)).To(gomega.Equal(defaultTerm))
	g.Expect(table.Quarantined(now, request("w", "", "c"))).To(gomega.BeZero())
	g.Expect(table.Quarantined(now.Add(defaultTerm+1), f)).To(gomega.BeZero())
}

func TestTheTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Options{Capacity: 2})
	bad := request("w", "", "bad")
	table.Add(now, Strike{Fingerprint: bad, Endpoint: "e1"})
	table.Add(now, Strike{Fingerprint: bad, Endpoint: "e2"})
	for _, body := range []string{"1", "2", "3"} {
		table.Add(now, Strike{Fingerprint: request("w", "", body), Endpoint: "e1"})
	}
	g.Expect(table.Len()).To(gomega.Equal(2))
	g.Expect(table.Quarantined(now, bad)).To(gomega.Equal(defaultTerm))
}

// A strike that is told twice counts once; an entry that missed strikes takes
// them from another one.
func TestStrikesAreToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	f := request("w", "k", "body")
	table, late := NewTable(Options{}), NewTable(Options{})
	first := Strike{ID: 1, Fingerprint: f, Endpoint: "e1"}
	g.Expect(table.Add(now, first)).To(gomega.BeTrue())
	g.Expect(table.Add(now, first)).To(gomega.BeFalse())
	g.Expect(table.Quarantined(now, f)).To(gomega.BeZero())
	g.Expect(table.Add(now, Strike{ID: 2, Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	for _, strike := range table.Strikes(now, 256) {
		late.Add(now, strike)
	}
	g.Expect(late.Quarantined(now, f)).To(gomega.Equal(defaultTerm))
	g.Expect(table.Strikes(now, 1)).To(gomega.BeEmpty())
}
