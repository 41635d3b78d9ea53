package membership

import (
	"testing"

	. "github.com/onsi/gomega"

	"lovagescale/internal/instancelist"
)

// One request tells a sibling that an entry leaves, without a reply.
func TestLeaveIsToldByOneRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, Options{})
	f.settle()
	leaver, sibling := f.nodes[0], f.nodes[1]
	told := 0
	for _, request := range leaver.core.Leave(f.now) {
		if request.Peer == sibling.core.self.Link && request.Message.Zone == "" {
			sibling.core.Serve(f.now, request.Message)
			told++
		}
	}
	g.Expect(told).To(Equal(1))
	found, known := sibling.core.View().ByIncarnation(leaver.core.self.Incarnation)
	g.Expect(known).To(BeTrue())
	g.Expect(found.State).To(Equal(instancelist.Leaving))
}
