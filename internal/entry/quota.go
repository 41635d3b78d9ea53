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

// QuotaSettings configure how workspaces' quotas are divided among entries. The fields
// without a comment are described in quota.Options. Zero fields get the defaults. All
// entries must have the same settings.
type QuotaSettings struct {
	// Reserved is the fraction of each quota that is reserved for zones.
	Reserved   float64       `toml:"reserved"`
	GrantTTL   unit.Duration `toml:"grant_ttl"`
	PauseLimit unit.Duration `toml:"pause_limit"`
	OwnerTTL   unit.Duration `toml:"owner_ttl"`
}

func (s *QuotaSettings) check(document *tomlfile.Document) {
	if s.Reserved < 0 || s.Reserved >= 1 {
		document.Add("must be at least 0 and below 1", "quota", "reserved")
	}
}

// quotaTickInterval is the interval at which the demand of workspaces is measured.
const quotaTickInterval = 25 * time.Millisecond

// Timeouts of requests to other entries and of the release of shares at a planned stop.
const (
	quotaRequestTimeout = 300 * time.Millisecond
	quotaReleaseTimeout = 3 * time.Second
)

// quotaController drives the quota core of an entry. The core must only be used on the
// control goroutine.
type quotaController struct {
	entry        *Entry
	core         *quota.Core
	driver       *quota.Driver
	stage        *quota.Stage
	synchronizer *quota.Synchronizer
	view         *membership.View
}

// newQuotaController returns a controller whose stage passes admitted calls to next.
func newQuotaController(e *Entry, next call.Stage) *quotaController {
	s := e.settings.Quota
	self := quota.Peer{Incarnation: e.self.Incarnation, Instance: e.self.Instance, Zone: e.self.Zone}
	q := &quotaController{entry: e}
	q.core = quota.NewCore(time.Now(), self, quota.Options{
		ReservedFraction: s.Reserved,
		GrantTTL:         s.GrantTTL.Std(),
		PauseLimit:       s.PauseLimit.Std(),
		OwnerTTL:         s.OwnerTTL.Std(),
		GrantTimeout:     quotaRequestTimeout,
	})
	q.stage = quota.NewStage(next, time.Now, e.loop, e.registry, e.actions.RefusalOutcome)
	q.driver = quota.NewDriver(q.core, time.Now, q.stage, e.registry, q.sendGrantRequests)
	q.synchronizer = &quota.Synchronizer{
		Store:       store.NewHTTPClient(e.settings.Platform, "quota", e.settings.StoreTimeout.Std()),
		Loop:        e.loop,
		Driver:      q.driver,
		Now:         time.Now,
		Log:         e.log,
		Zone:        e.self.Zone,
		RequestCede: q.requestCede,
		Failures:    metrics.GetOrRegisterCounter("quota.store_failures", e.registry),
	}
	return q
}

// registerHandlers registers the handlers of grant and cede requests.
func (q *quotaController) registerHandlers(links *link.Server) {
	links.Handle(quota.TypeGrantRequest, q.handleGrantRequests)
	links.Handle(quota.TypeCede, q.handleCede)
}

// run ticks the core and synchronizes it with the store until ctx ends.
func (q *quotaController) run(ctx context.Context) error {
	go q.entry.loop.Every(ctx, quotaTickInterval, q.tick)
	q.synchronizer.Run(ctx)
	return nil
}

// tick passes a new membership view to the core and ticks the driver. It runs on the
// control goroutine.
func (q *quotaController) tick() {
	if view := q.entry.view.Load(); view != q.view {
		q.view = view
		q.driver.Update(func(now time.Time, core *quota.Core) { core.SetPeers(now, reachablePeers(view)) })
	}
	q.driver.Tick()
}

// reachablePeers returns the other instances that are not suspected.
func reachablePeers(view *membership.View) []quota.Peer {
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

// applyConfiguration passes the limits of the workspaces to the core. It runs on the
// control goroutine.
func (q *quotaController) applyConfiguration(c *configuration.Configuration) {
	limits := quota.Limits{Revision: c.Revision, Zones: len(c.Zones), Workspaces: make(map[string]quota.Limit, len(c.Workspaces))}
	for name, workspace := range c.Workspaces {
		limits.Workspaces[name] = quota.Limit{Rate: workspace.RatePerSecond, Burst: workspace.Burst}
	}
	q.driver.Update(func(now time.Time, core *quota.Core) { core.Configure(now, limits) })
}

// setInstanceList passes the instances of the platform's list to the synchronizer.
func (q *quotaController) setInstanceList(instances []instancelist.Instance) {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.ID)
	}
	q.synchronizer.SetListed(names)
}

// release gives up this entry's shares at a planned stop.
func (q *quotaController) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaReleaseTimeout)
	defer cancel()
	q.synchronizer.Release(ctx)
}

// sendGrantRequests sends grant requests to another entry in the background and passes
// the grants, or the loss of the requests, to the driver. It runs on the control
// goroutine.
func (q *quotaController) sendGrantRequests(to string, requests []quota.GrantRequest) {
	member, known := q.entry.view.Load().ByIncarnation(to)
	go func() {
		if !known {
			_ = q.entry.loop.Post(func() { q.driver.HandleLost(to, requests) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), quotaRequestTimeout)
		defer cancel()
		var reply quota.GrantBatch
		err := q.entry.peers.Client(member.Link).Call(ctx, quota.TypeGrantRequest, quota.GrantRequestBatch{From: q.entry.self.Incarnation, Requests: requests}, &reply)
		_ = q.entry.loop.Post(func() {
			if err != nil {
				q.driver.HandleLost(to, requests)
				return
			}
			q.driver.HandleGrants(to, reply.Grants)
		})
	}()
}

func (q *quotaController) handleGrantRequests(ctx context.Context, envelope wire.Envelope) (any, error) {
	var batch quota.GrantRequestBatch
	if err := envelope.Decode(&batch); err != nil {
		return nil, err
	}
	var reply quota.GrantBatch
	err := q.entry.loop.Call(ctx, func() { reply = q.driver.Serve(batch) })
	return reply, err
}

// requestCede asks another entry of the zone to cede some of its reserved shares.
// Without an answer the request is repeated later.
func (q *quotaController) requestCede(ctx context.Context, incarnation string) {
	member, known := q.entry.view.Load().ByIncarnation(incarnation)
	if !known || member.Zone != q.entry.self.Zone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quotaRequestTimeout)
	defer cancel()
	request := quota.CedeRequest{Incarnation: q.entry.self.Incarnation, Instance: q.entry.self.Instance}
	var reply struct{}
	if err := q.entry.peers.Client(member.Link).Call(ctx, quota.TypeCede, request, &reply); err != nil {
		q.entry.log.Debug().Err(err).Msg("cede request for reserved shares failed; it will be repeated")
	}
}

func (q *quotaController) handleCede(ctx context.Context, envelope wire.Envelope) (any, error) {
	var request quota.CedeRequest
	if err := envelope.Decode(&request); err != nil {
		return nil, err
	}
	err := q.entry.loop.Call(ctx, func() {
		sibling := slices.ContainsFunc(q.entry.view.Load().InZone(q.entry.self.Zone), func(m membership.Member) bool {
			return m.Incarnation == request.Incarnation
		})
		if sibling {
			q.driver.Update(func(now time.Time, core *quota.Core) { core.Cede(now, request) })
		}
	})
	return struct{}{}, err
}

// dump runs on the control goroutine.
func (q *quotaController) dump() quota.Dump { return q.core.Dump(time.Now()) }
