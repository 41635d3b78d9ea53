package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/link"
	"lovagescale/internal/membership"
	"lovagescale/internal/quota"
	"lovagescale/internal/store"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
	"lovagescale/internal/wire"
)

// QuotaSettings set the division of workspaces' quotas. Zeros take the defaults
// of quota.Options; all entries must have the same settings.
type QuotaSettings struct {
	// Reserved is the part of each quota that is reserved to zones.
	Reserved   float64       `toml:"reserved"`
	GrantTTL   unit.Duration `toml:"grant_ttl"`
	PauseLimit unit.Duration `toml:"pause_limit"`
	OwnerTTL   unit.Duration `toml:"owner_ttl"`
}

func (s *QuotaSettings) check(text *tomlfile.Text) {
	if s.Reserved < 0 || s.Reserved >= 1 {
		text.Add("must be at least 0 and below 1", "quota", "reserved")
	}
}

// quotaTick is the interval at which demand is measured.
const quotaTick = 25 * time.Millisecond

// Timeouts of messages about quotas.
const (
	quotaAskTimeout     = 300 * time.Millisecond
	quotaReleaseTimeout = 3 * time.Second
)

// quotas drives the quota core of an entry. The core belongs to the control
// goroutine.
type quotas struct {
	entry  *Entry
	core   *quota.Core
	driver *quota.Driver
	stage  *quota.Stage
	sync   *quota.Synchronizer
	view   *membership.View
}

// newQuotas returns the quotas of an entry whose stage passes calls to next.
func newQuotas(e *Entry, next call.Stage) *quotas {
	s := e.settings.Quota
	self := quota.Peer{Incarnation: e.self.Incarnation, Instance: e.self.Instance, Zone: e.self.Zone}
	q := &quotas{entry: e}
	q.core = quota.NewCore(time.Now(), self, quota.Options{
		ReservedFraction: s.Reserved,
		GrantTTL:         s.GrantTTL.Std(),
		PauseLimit:       s.PauseLimit.Std(),
		OwnerTTL:         s.OwnerTTL.Std(),
		GrantTimeout:     quotaAskTimeout,
	})
	q.stage = quota.NewStage(next, time.Now, e.loop, e.registry, e.actions.RefusalOutcome)
	q.driver = quota.NewDriver(q.core, time.Now, q.stage, e.registry, q.send)
	q.sync = &quota.Synchronizer{
		Store:       store.NewHTTPClient(e.settings.Platform, "quota", e.settings.StoreTimeout.Std()),
		Loop:        e.loop,
		Driver:      q.driver,
		Now:         time.Now,
		Log:         e.log,
		Zone:        e.self.Zone,
		RequestCede: q.askToCede,
		Failures:    metrics.GetOrRegisterCounter("quota.store_failures", e.registry),
	}
	return q
}

// handle adds the handlers of the quotas' messages.
func (q *quotas) handle(links *link.Server) {
	links.Handle(quota.TypeGrantRequest, q.serveAsks)
	links.Handle(quota.TypeCede, q.serveCede)
}

// run drives the core until ctx ends.
func (q *quotas) run(ctx context.Context) error {
	go q.entry.loop.Every(ctx, quotaTick, q.tick)
	q.sync.Run(ctx)
	return nil
}

// tick runs on the control goroutine.
func (q *quotas) tick() {
	if view := q.entry.view.Load(); view != q.view {
		q.view = view
		q.driver.Update(func(now time.Time, core *quota.Core) { core.SetPeers(now, peersOf(view)) })
	}
	q.driver.Tick()
}

// peersOf returns the other entries that can be reached.
func peersOf(view *membership.View) []quota.Peer {
	var peers []quota.Peer
	for _, m := range view.Members {
		if m.Instance == view.Self.Instance || m.Suspected {
			continue
		}
		peers = append(peers, quota.Peer{
			Incarnation: m.Incarnation,
			Instance:    m.Instance,
			Zone:        m.Zone,
			Leaving:     m.State == instancelist.Leaving,
		})
	}
	return peers
}

// apply runs on the control goroutine.
func (q *quotas) apply(c *configuration.Configuration) {
	limits := quota.Limits{Revision: c.Revision, Zones: len(c.Zones), Workspaces: make(map[string]quota.Limit, len(c.Workspaces))}
	for name, workspace := range c.Workspaces {
		limits.Workspaces[name] = quota.Limit{Rate: workspace.RatePerSecond, Burst: workspace.Burst}
	}
	q.driver.Update(func(now time.Time, core *quota.Core) { core.Configure(now, limits) })
}

// setListed takes the platform's list.
func (q *quotas) setListed(instances []instancelist.Instance) {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.ID)
	}
	q.sync.SetListed(names)
}

// release gives up this entry's shares at a planned stop.
func (q *quotas) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaReleaseTimeout)
	defer cancel()
	q.sync.Release(ctx)
}

// send passes asks to another entry; it runs on the control goroutine.
func (q *quotas) send(to string, asks []quota.GrantRequest) {
	member, known := q.entry.view.Load().ByIncarnation(to)
	go func() {
		if !known {
			_ = q.entry.loop.Post(func() { q.driver.HandleLost(to, asks) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), quotaAskTimeout)
		defer cancel()
		var reply quota.GrantBatch
		err := q.entry.peers.Client(member.Link).Call(ctx, quota.TypeGrantRequest, quota.GrantRequestBatch{From: q.entry.self.Incarnation, Requests: asks}, &reply)
		_ = q.entry.loop.Post(func() {
			if err != nil {
				q.driver.HandleLost(to, asks)
				return
			}
			q.driver.HandleGrants(to, reply.Grants)
		})
	}()
}

func (q *quotas) serveAsks(ctx context.Context, request wire.Envelope) (any, error) {
	var batch quota.GrantRequestBatch
	if err := request.Decode(&batch); err != nil {
		return nil, err
	}
	var reply quota.GrantBatch
	err := q.entry.loop.Call(ctx, func() { reply = q.driver.Serve(batch) })
	return reply, err
}

// askToCede asks an entry of the zone for some of its reserved shares. Without
// an answer it is asked again later.
func (q *quotas) askToCede(ctx context.Context, incarnation string) {
	member, known := q.entry.view.Load().ByIncarnation(incarnation)
	if !known || member.Zone != q.entry.self.Zone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quotaAskTimeout)
	defer cancel()
	request := quota.CedeRequest{Incarnation: q.entry.self.Incarnation, Instance: q.entry.self.Instance}
	var reply struct{}
	if err := q.entry.peers.Client(member.Link).Call(ctx, quota.TypeCede, request, &reply); err != nil {
		q.entry.log.Debug().Err(err).Msg("no reserved shares were ceded")
	}
}

func (q *quotas) serveCede(ctx context.Context, request wire.Envelope) (any, error) {
	var asked quota.CedeRequest
	if err := request.Decode(&asked); err != nil {
		return nil, err
	}
	err := q.entry.loop.Call(ctx, func() {
		sibling := slices.ContainsFunc(q.entry.view.Load().InZone(q.entry.self.Zone), func(m membership.Member) bool {
			return m.Incarnation == asked.Incarnation
		})
		if sibling {
			q.driver.Update(func(now time.Time, core *quota.Core) { core.Cede(now, asked) })
		}
	})
	return struct{}{}, err
}

// dump runs on the control goroutine.
func (q *quotas) dump() quota.Dump { return q.core.Dump(time.Now()) }
