package regionmix

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a mix that counts what was refused as run, or loses a window's counts.
func TestWindowHoldsWhatRanAndWhatWasRefused(t *testing.T) {
	g := NewWithT(t)
	m := New()
	free := Flow{Upstream: "files", Region: "north"}
	pinned := Flow{Upstream: "files", Region: "north", Pinned: true}
	m.Record(pinned, Result{Outcome: Expired, Queued: true, AtEndpoints: 2 * time.Second})
	m.Record(pinned, Result{Outcome: NoRoom, Queued: true})
	m.Record(free, Result{Outcome: Answered, AtEndpoints: time.Second})
	counts, leftOut := m.EndWindow()
	g.Expect(leftOut).To(BeZero())
	g.Expect(counts).To(HaveLen(2))
	g.Expect(counts[0].Flow).To(Equal(free))
	g.Expect(counts[0].Ran()).To(Equal(1))
	g.Expect(counts[1].Meant()).To(Equal(2))
	g.Expect(counts[1].Ran()).To(Equal(1))
	g.Expect(counts[1].Queued).To(Equal(1))
	g.Expect(counts[1].QueuedExpired).To(Equal(1))
	g.Expect(counts[1].AtEndpoints).To(Equal(2 * time.Second))
	counts, _ = m.EndWindow()
	g.Expect(counts).To(BeEmpty())
}

// Guards against a window that grows without bound with the number of upstreams.
func TestWindowIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := New()
	for i := range maxFlows + 3 {
		m.Record(Flow{Upstream: fmt.Sprint(i)}, Result{Outcome: Answered})
	}
	counts, leftOut := m.EndWindow()
	g.Expect(counts).To(HaveLen(maxFlows))
	g.Expect(leftOut).To(Equal(3))
}
