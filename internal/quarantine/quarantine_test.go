package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lovagescale/internal/call"
	"lovagescale/internal/upstream"
)

func requestFingerprint(workspace, key, body string) Fingerprint {
	return FingerprintOf(&call.Call{Workspace: workspace, Service: "s", IdempotencyKey: key,
		Request: upstream.Request{Method: "POST", Target: "/x", Body: []byte(body)}})
}

func TestFingerprintLeavesOutTheIdempotencyKey(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(requestFingerprint("w", "k1", "b")).To(gomega.Equal(requestFingerprint("w", "k2", "b")))
	g.Expect(requestFingerprint("w", "k1", "b")).NotTo(gomega.Equal(requestFingerprint("w", "k1", "c")))
	g.Expect(requestFingerprint("w", "k1", "b")).NotTo(gomega.Equal(requestFingerprint("v", "k1", "b")))
}

func TestStrikesOfTwoEndpointsQuarantineRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Options{})
	f := requestFingerprint("w", "", "b")
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.RemainingTime(now, f)).To(gomega.BeZero())
	afterTTL := now.Add(defaultStrikeTTL + 1)
	g.Expect(table.Add(afterTTL, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.RemainingTime(afterTTL, f)).To(gomega.BeZero())
	now = afterTTL
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	g.Expect(table.Add(now, Strike{Fingerprint: f, Endpoint: "e2"})).To(gomega.BeFalse())
	g.Expect(table.RemainingTime(now, f)).To(gomega.Equal(defaultDuration))
	g.Expect(table.RemainingTime(now, requestFingerprint("w", "", "c"))).To(gomega.BeZero())
	g.Expect(table.RemainingTime(now.Add(defaultDuration+1), f)).To(gomega.BeZero())
}

func TestTheTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Options{Capacity: 2})
	bad := requestFingerprint("w", "", "bad")
	table.Add(now, Strike{Fingerprint: bad, Endpoint: "e1"})
	table.Add(now, Strike{Fingerprint: bad, Endpoint: "e2"})
	for _, body := range []string{"1", "2", "3"} {
		table.Add(now, Strike{Fingerprint: requestFingerprint("w", "", body), Endpoint: "e1"})
	}
	g.Expect(table.Len()).To(gomega.Equal(2))
	g.Expect(table.RemainingTime(now, bad)).To(gomega.Equal(defaultDuration))
}

// A strike that is received twice counts once. An entry that missed strikes gets
// them from another entry.
func TestStrikeReceivedTwiceCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	f := requestFingerprint("w", "k", "body")
	table, otherTable := NewTable(Options{}), NewTable(Options{})
	first := Strike{ID: 1, Fingerprint: f, Endpoint: "e1"}
	g.Expect(table.Add(now, first)).To(gomega.BeTrue())
	g.Expect(table.Add(now, first)).To(gomega.BeFalse())
	g.Expect(table.RemainingTime(now, f)).To(gomega.BeZero())
	g.Expect(table.Add(now, Strike{ID: 2, Fingerprint: f, Endpoint: "e1"})).To(gomega.BeTrue())
	for _, strike := range table.ActiveStrikes(now, 256) {
		otherTable.Add(now, strike)
	}
	g.Expect(otherTable.RemainingTime(now, f)).To(gomega.Equal(defaultDuration))
	g.Expect(table.ActiveStrikes(now, 1)).To(gomega.BeEmpty())
}
