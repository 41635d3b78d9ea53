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

// estate is an entry of zone n1 with siblings, another zone of its region and
// one of another region.
type estate struct {
	answers map[string]error
	asked   []string
	now     time.Time
	own     error
	// frees is the number of tries at the own endpoints after which one is
	// free; 0 is never.
	frees, tries int
	unsettled    bool
}

// serve is the own endpoints. Time passes with each try.
func (e *estate) serve(context.Context, *call.Call) (*call.Result, error) {
	e.tries++
	e.now = e.now.Add(settlePause)
	if e.frees > 0 && e.tries > e.frees {
		return &call.Result{Instance: "self"}, nil
	}
	return nil, e.own
}

func refused(kind refusal.Kind, outcome refusal.Outcome) error {
	return refusal.New(503, kind, outcome, "test")
}

func (e *estate) stage(limits shift.Limits) *Stage {
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
		Zone:          "n1",
		Next:          call.StageFunc(e.serve),
		Unsettled:     func() bool { return e.unsettled },
		Send:          e.send,
		View:          func() *membership.View { return view },
		Configuration: func() *configuration.Configuration { return c },
		Owners:        func(string) []membership.Member { return siblings },
		Gate:          gate,
		Now:           func() time.Time { return e.now },
		Draw:          func(int) int { return 0 },
		Registry:      metrics.NewRegistry(),
	})
}

func (e *estate) send(_ context.Context, link, zone string, _ *call.Call) (*call.Result, error) {
	e.asked = append(e.asked, link)
	if err := e.answers[link]; err != nil {
		return nil, err
	}
	return &call.Result{Instance: link}, nil
}

func TestHandOver(t *testing.T) {
	full := refused(refusal.NoCapacity, refusal.NotRun)
	for name, c := range map[string]struct {
		own     error
		kindOf  configuration.RouteKind
		hops    int
		answers map[string]error
		limits  shift.Limits
		asked   []string
		ran     string
		kind    refusal.Kind
	}{
		"usable siblings go first":          {own: full, asked: []string{"sibling"}, ran: "sibling"},
		"then zones of the region":          {own: full, answers: map[string]error{"sibling": full}, asked: []string{"sibling", "near"}, ran: "near"},
		"then other regions with endpoints": {own: full, answers: map[string]error{"sibling": full, "near": full}, asked: []string{"sibling", "near", "far"}, ran: "far"},
		"the first refusal when all refuse": {own: refused(refusal.UpstreamUnreachable, refusal.NotRun),
			answers: map[string]error{"sibling": full, "near": full, "far": full}, asked: []string{"sibling", "near", "far"}, kind: refusal.UpstreamUnreachable},
		"what may have run stays":    {own: refused(refusal.UpstreamFailed, refusal.Unknown), kind: refusal.UpstreamFailed},
		"an unknown outcome ends it": {own: full, answers: map[string]error{"sibling": refused(refusal.PeerFailed, refusal.Unknown)}, asked: []string{"sibling"}, kind: refusal.PeerFailed},
		"a lookup goes past a silent entry": {own: full, kindOf: configuration.Lookup,
			answers: map[string]error{"sibling": refused(refusal.PeerFailed, refusal.Unknown)}, asked: []string{"sibling", "near"}, ran: "near"},
		"and is not called not-run then": {own: full, kindOf: configuration.Lookup,
			answers: map[string]error{"sibling": refused(refusal.PeerFailed, refusal.Unknown), "near": full, "far": full},
			asked:   []string{"sibling", "near", "far"}, kind: refusal.PeerFailed},
		"a refusal for cause stays":      {own: refused(refusal.DeadlineExceeded, refusal.NotRun), kind: refusal.DeadlineExceeded},
		"the second hop is to a sibling": {own: full, hops: 1, answers: map[string]error{"sibling": full}, asked: []string{"sibling"}, kind: refusal.NoCapacity},
		"there is no third hop":          {own: full, hops: 2, kind: refusal.NoCapacity},
		"no answer without link bytes": {own: full, answers: map[string]error{"sibling": full, "near": full},
			limits: shift.Limits{LinkBytesPerSecond: 1}, asked: []string{"sibling", "near"}, kind: refusal.NoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &estate{answers: c.answers, own: c.own, now: time.Unix(1, 0)}
			result, err := e.stage(c.limits).Serve(context.Background(), &call.Call{
				Service: "files", Hops: c.hops, Kind: c.kindOf, Deadline: e.now.Add(time.Minute)})
			g.Expect(e.asked).To(Equal(c.asked))
			if c.ran != "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Instance).To(Equal(c.ran))
				return
			}
			g.Expect(err).To(BeAssignableToTypeOf(&refusal.Refusal{}))
			g.Expect(err.(*refusal.Refusal).Kind).To(Equal(c.kind))
		})
	}
}

func TestFullEntriesAreLeftAloneForAWhile(t *testing.T) {
	g := NewWithT(t)
	full := refused(refusal.NoCapacity, refusal.NotRun)
	e := &estate{own: full, answers: map[string]error{"sibling": full}, now: time.Unix(1, 0)}
	s := e.stage(shift.Limits{})
	for range 2 {
		_, err := s.Serve(context.Background(), &call.Call{Service: "files"})
		g.Expect(err).NotTo(HaveOccurred())
	}
	e.now = e.now.Add(avoidFull)
	_, err := s.Serve(context.Background(), &call.Call{Service: "files"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.asked).To(Equal([]string{"sibling", "near", "near", "sibling", "near"}))
}

func TestReceivingRegionEnforcesItsCap(t *testing.T) {
	g := NewWithT(t)
	e := &estate{now: time.Unix(100, 0)}
	s := e.stage(shift.Limits{Region: "n", CapPerSecond: 50})
	c := &call.Call{Service: "files", Hops: 1}
	_, err := s.Receive(context.Background(), "s1", c)
	g.Expect(err).To(MatchError(ContainSubstring("at its cap")), "an entry without a part")
	_, err = s.Receive(context.Background(), "n2", c)
	g.Expect(err).NotTo(HaveOccurred(), "the own region")
	s.Stop()
	_, err = s.Receive(context.Background(), "n2", c)
	g.Expect(err).To(MatchError(ContainSubstring("stopping")))
}

// A caller's own call waits while endpoints change hands, within a bound; other
// calls are answered at once.
func TestWaitForEndpointsThatChangeHands(t *testing.T) {
	full := refused(refusal.NoCapacity, refusal.NotRun)
	most := int((settleWait+settlePause-1)/settlePause) + 1
	for name, c := range map[string]struct {
		unsettled   bool
		hops, frees int
		tries       int
		ran         bool
	}{
		"the endpoint is taken over": {unsettled: true, frees: 3, tries: 4, ran: true},
		"nobody takes it over":       {unsettled: true, tries: most},
		"nothing changes hands":      {tries: 1},
		"the call was handed on":     {unsettled: true, hops: 1, tries: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &estate{own: full, now: time.Unix(1, 0), frees: c.frees, unsettled: c.unsettled,
				answers: map[string]error{"sibling": full, "near": full, "far": full}}
			_, err := e.stage(shift.Limits{}).Serve(context.Background(), &call.Call{Service: "files", Hops: c.hops})
			g.Expect(err == nil).To(Equal(c.ran))
			g.Expect(e.tries).To(Equal(c.tries))
		})
	}
}
