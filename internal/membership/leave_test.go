package membership

import (
	"testing"

	. "github.com/onsi/gomega"

	"lovagescale/internal/instancelist"
)

// A sibling must learn from a single request, without a further exchange, that an
// instance leaves.
func TestSiblingLearnsOfLeaveFromOneRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, Options{})
	f.healAndConverge()
	leaver, sibling := f.nodes[0], f.nodes[1]
	notified := 0
	for _, request := range leaver.core.Leave(f.now) {
		if request.Peer == sibling.core.self.Link && request.Message.Zone == "" {
			sibling.core.HandleRequest(f.now, request.Message)
			notified++
		}
	}
	g.Expect(notified).To(Equal(1))
	found, known := sibling.core.View().ByIncarnation(leaver.core.self.Incarnation)
	g.Expect(known).To(BeTrue())
	g.Expect(found.State).To(Equal(instancelist.Leaving))
}
