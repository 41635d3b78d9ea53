package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// A request with allowed regions must not be sent to an instance elsewhere, and nearer
// instances go before farther ones.
func TestHandoversStayInAllowedRegions(t *testing.T) {
	g := NewWithT(t)
	e := New(Settings{Instance: "n1", Zone: "north-1", Region: "north", Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
	near := fleet.Member{Instance: "n2", Zone: "north-1", Region: "north"}
	far := fleet.Member{Instance: "s1", Zone: "south-1", Region: "south"}
	e.handoverTargets.Store(&[][]fleet.Member{{near}, nil, {far}})
	choose := func(regions ...string) []fleet.Member {
		return e.chooseHandoverTargets(&request{route: &catalog.Route{AllowedRegions: regions}})
	}
	g.Expect(choose()).To(Equal([]fleet.Member{near, far}))
	g.Expect(choose("south")).To(Equal([]fleet.Member{far}))
	g.Expect(choose("east")).To(BeEmpty())
	_, _, taken := e.handOver(t.Context(), &request{route: &catalog.Route{}, handedOver: true}, 1)
	g.Expect(taken).To(BeFalse(), "it was handed over before")
}

// Only what the peer certainly did not handle may go to another instance; a request that
// may run there must not run twice.
func TestHandoverIsRepeatedOnlyIfNotReceived(t *testing.T) {
	g := NewWithT(t)
	unknownType := &link.RemoteError{Code: "*link.UnknownTypeError"}
	for _, notReceived := range []error{
		&link.BusyError{},
		&link.UnreachableError{Cause: errors.New("refused")},
		unknownType, // a build without handovers
	} {
		g.Expect(handoverNotReceived(notReceived)).To(BeTrue(), notReceived.Error())
	}
	for _, unknown := range []error{
		&link.UnreachableError{Sent: true, Cause: errors.New("timeout")},
		&link.RemoteError{Code: "*wire.FrameTooLargeError"}, // the answer was too large
		&wire.MalformedError{Type: fleet.TypeHandover},
	} {
		g.Expect(handoverNotReceived(unknown)).To(BeFalse(), unknown.Error())
	}
}

// An instance passes on only what its configuration covers: one of an older version may
// lack the route or the key that the sender checked.
func TestHandoverNeedsTheSendersConfiguration(t *testing.T) {
	g := NewWithT(t)
	e := New(Settings{Instance: "n1", Zone: "north-1", Region: "north", Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
	handOver := func(version uint64) fleet.HandoverReply {
		envelope, err := wire.Encode(fleet.TypeHandover, 1, fleet.Handover{Method: "GET", Host: "h", Target: "/gone/", Version: version, TimeLeftMillis: time.Second.Milliseconds(), MaxAttempts: 1})
		g.Expect(err).NotTo(HaveOccurred())
		reply, err := e.handleHandover(t.Context(), envelope)
		g.Expect(err).NotTo(HaveOccurred())
		return reply.(fleet.HandoverReply)
	}
	g.Expect(handOver(1).NotTaken).To(BeTrue(), "no configuration")
	e.catalog.Store(catalog.New(2, nil, nil, nil, catalog.Limits{}))
	g.Expect(handOver(3).NotTaken).To(BeTrue(), "an older configuration")
	refused := handOver(2).Refused
	g.Expect(refused).NotTo(BeNil(), "no such route")
	g.Expect(refused.Outcome).To(BeEquivalentTo("not-run"))
}
