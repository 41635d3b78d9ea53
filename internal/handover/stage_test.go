package handover

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
	"lovagescale/internal/refusal"
	"lovagescale/internal/shift"
)

// fixture simulates an entry of zone n1 with siblings, another zone of its region
// (n2) and two zones of another region (s1 with endpoints, s2 without).
type fixture struct {
	peerErrs map[string]error
	asked    []string
	now      time.Time
	localErr error
	// freeAfter is the number of attempts at the entry's own endpoints after which one
	// is free; 0 means never.
	freeAfter, localAttempts int
	ownershipChanging        bool
}

// serve simulates the entry's own endpoints. The clock advances with each
// attempt.
func (e *fixture) serve(context.Context, *call.Call) (*call.Result, error) {
	e.localAttempts++
	e.now = e.now.Add(ownershipRetryInterval)
	if e.freeAfter > 0 && e.localAttempts > e.freeAfter {
		return &call.Result{Instance: "self"}, nil
	}
	return nil, e.localErr
}

func refusalError(kind refusal.Kind, outcome refusal.Outcome) error {
	return refusal.New(503, kind, outcome, "test")
}

// stage returns the entry's stage.
func (e *fixture) stage(limits shift.Limits) *Stage {
	member := func(id, zone string) membership.Member {
		return membership.Member{Instance: id, Incarnation: id, Zone: zone, Link: id, State: instancelist.Live}
	}
	leaving := member("sibling-leaving", "n1")
	leaving.State = instancelist.Leaving
	suspected := member("sibling-suspected", "n1")
	suspected.Suspected = true
	siblings := []membership.Member{member("sibling", "n1"), leaving, suspected}
	view := &membership.View{Self: member("self", "n1"), Members: append([]membership.Member{
		member("self", "n1"), member("near", "n2"), member("far", "s1"), member("empty", "s2")}, siblings...)}
	c := &configuration.Configuration{
		Zones:    map[string]configuration.Zone{"n1": {Region: "n"}, "n2": {Region: "n"}, "s1": {Region: "s"}, "s2": {Region: "s"}},
		Services: map[string]configuration.Service{"files": {Endpoints: map[string][]string{"n1": {"a"}, "n2": {"b"}, "s1": {"c"}}}},
	}
	gate := shift.NewGate(e.now, 0, metrics.NewRegistry())
	gate.Apply(limits)
	return NewStage(Environment{
		Zone:              "n1",
		Next:              call.StageFunc(e.serve),
		OwnershipChanging: func() bool { return e.ownershipChanging },
		Send:              e.send,
		View:              func() *membership.View { return view },
		Configuration:     func() *configuration.Configuration { return c },
		Owners:            func(string) []membership.Member { return siblings },
		Gate:              gate,
		Now:               func() time.Time { return e.now },
		RandIntN:          func(int) int { return 0 },
		Registry:          metrics.NewRegistry(),
	})
}

// send simulates the other entries.
func (e *fixture) send(_ context.Context, link, zone string, _ *call.Call) (*call.Result, error) {
	e.asked = append(e.asked, link)
	if err := e.peerErrs[link]; err != nil {
		return nil, err
	}
	return &call.Result{Instance: link}, nil
}

func TestHandOver(t *testing.T) {
	full := refusalError(refusal.NoCapacity, refusal.NotRun)
	for name, c := range map[string]struct {
		localErr     error
		routeKind    configuration.RouteKind
		hops         int
		peerErrs     map[string]error
		limits       shift.Limits
		wantAsked    []string
		wantInstance string
		wantKind     refusal.Kind
	}{
		"usable siblings are asked first":            {localErr: full, wantAsked: []string{"sibling"}, wantInstance: "sibling"},
		"then other zones of the region":             {localErr: full, peerErrs: map[string]error{"sibling": full}, wantAsked: []string{"sibling", "near"}, wantInstance: "near"},
		"then zones of other regions with endpoints": {localErr: full, peerErrs: map[string]error{"sibling": full, "near": full}, wantAsked: []string{"sibling", "near", "far"}, wantInstance: "far"},
		"the first refusal is returned when all refuse": {localErr: refusalError(refusal.UpstreamUnreachable, refusal.NotRun),
			peerErrs: map[string]error{"sibling": full, "near": full, "far": full}, wantAsked: []string{"sibling", "near", "far"}, wantKind: refusal.UpstreamUnreachable},
		"a call that may have run is not handed over": {localErr: refusalError(refusal.UpstreamFailed, refusal.Unknown), wantKind: refusal.UpstreamFailed},
		"an unknown outcome ends the handover":        {localErr: full, peerErrs: map[string]error{"sibling": refusalError(refusal.PeerFailed, refusal.Unknown)}, wantAsked: []string{"sibling"}, wantKind: refusal.PeerFailed},
		"a lookup is handed over after an entry did not answer": {localErr: full, routeKind: configuration.Lookup,
			peerErrs: map[string]error{"sibling": refusalError(refusal.PeerFailed, refusal.Unknown)}, wantAsked: []string{"sibling", "near"}, wantInstance: "near"},
		"a lookup that an entry did not answer is not refused as not-run": {localErr: full, routeKind: configuration.Lookup,
			peerErrs:  map[string]error{"sibling": refusalError(refusal.PeerFailed, refusal.Unknown), "near": full, "far": full},
			wantAsked: []string{"sibling", "near", "far"}, wantKind: refusal.PeerFailed},
		"a refusal that other entries would repeat is returned": {localErr: refusalError(refusal.DeadlineExceeded, refusal.NotRun), wantKind: refusal.DeadlineExceeded},
		"the second hop goes only to a sibling":                 {localErr: full, hops: 1, peerErrs: map[string]error{"sibling": full}, wantAsked: []string{"sibling"}, wantKind: refusal.NoCapacity},
		"there is no third hop":                                 {localErr: full, hops: 2, wantKind: refusal.NoCapacity},
		"no handover to another region without link quota": {localErr: full, peerErrs: map[string]error{"sibling": full, "near": full},
			limits: shift.Limits{LinkBytesPerSecond: 1}, wantAsked: []string{"sibling", "near"}, wantKind: refusal.NoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &fixture{peerErrs: c.peerErrs, localErr: c.localErr, now: time.Unix(1, 0)}
			result, err := e.stage(c.limits).Serve(context.Background(), &call.Call{
				Service: "files", Hops: c.hops, Kind: c.routeKind, Deadline: e.now.Add(time.Minute)})
			g.Expect(e.asked).To(Equal(c.wantAsked))
			if c.wantInstance != "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Instance).To(Equal(c.wantInstance))
				return
			}
			g.Expect(err).To(BeAssignableToTypeOf(&refusal.Refusal{}))
			g.Expect(err.(*refusal.Refusal).Kind).To(Equal(c.wantKind))
		})
	}
}

func TestEntryWithoutCapacityIsNotAskedDuringCooldown(t *testing.T) {
	g := NewWithT(t)
	full := refusalError(refusal.NoCapacity, refusal.NotRun)
	e := &fixture{localErr: full, peerErrs: map[string]error{"sibling": full}, now: time.Unix(1, 0)}
	s := e.stage(shift.Limits{})
	for range 2 {
		_, err := s.Serve(context.Background(), &call.Call{Service: "files"})
		g.Expect(err).NotTo(HaveOccurred())
	}
	e.now = e.now.Add(noCapacityCooldown)
	_, err := s.Serve(context.Background(), &call.Call{Service: "files"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.asked).To(Equal([]string{"sibling", "near", "near", "sibling", "near"}))
}

func TestReceivingRegionEnforcesItsCap(t *testing.T) {
	g := NewWithT(t)
	e := &fixture{now: time.Unix(100, 0)}
	s := e.stage(shift.Limits{Region: "n", CapPerSecond: 50})
	c := &call.Call{Service: "files", Hops: 1}
	_, err := s.Receive(context.Background(), "s1", c)
	g.Expect(err).To(MatchError(ContainSubstring("at its cap")), "an entry without a share of the cap")
	_, err = s.Receive(context.Background(), "n2", c)
	g.Expect(err).NotTo(HaveOccurred(), "a call from the same region")
	s.Stop()
	_, err = s.Receive(context.Background(), "n2", c)
	g.Expect(err).To(MatchError(ContainSubstring("stopping")))
}

// A call that came from a caller waits while endpoints change owners, up to a time
// limit. A call that was handed over is answered at once.
func TestCallWaitsWhileEndpointsChangeOwners(t *testing.T) {
	full := refusalError(refusal.NoCapacity, refusal.NotRun)
	maxAttempts := int((ownershipWaitLimit+ownershipRetryInterval-1)/ownershipRetryInterval) + 1
	for name, c := range map[string]struct {
		ownershipChanging bool
		hops, freeAfter   int
		wantAttempts      int
		wantServed        bool
	}{
		"an endpoint becomes free":   {ownershipChanging: true, freeAfter: 3, wantAttempts: 4, wantServed: true},
		"no endpoint becomes free":   {ownershipChanging: true, wantAttempts: maxAttempts},
		"no endpoint changes owners": {wantAttempts: 1},
		"the call was handed over":   {ownershipChanging: true, hops: 1, wantAttempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &fixture{localErr: full, now: time.Unix(1, 0), freeAfter: c.freeAfter, ownershipChanging: c.ownershipChanging,
				peerErrs: map[string]error{"sibling": full, "near": full, "far": full}}
			_, err := e.stage(shift.Limits{}).Serve(context.Background(), &call.Call{Service: "files", Hops: c.hops})
			g.Expect(err == nil).To(Equal(c.wantServed))
			g.Expect(e.localAttempts).To(Equal(c.wantAttempts))
		})
	}
}
