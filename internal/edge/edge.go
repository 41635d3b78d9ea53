// Package edge assembles the one process of an instance on a platform where
// endpoints register themselves: callers' requests, look-ups, readiness, and
// the link to the other instances. The platform is a set of ports.
//
// One goroutine (control.Loop) owns the control state: the mirror of the
// platform's store, the other instances, the registered endpoints. It publishes
// immutable snapshots for the goroutines that serve requests.
//
// How it fails: without the store the instance goes on with its mirror and takes
// what is newer from its peers; without a configuration it refuses every request
// as not run and is not ready; without peers it keeps an even part of its zone's
// quotas.
package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/control"
	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/mirror"
	"lovagescale/internal/operator"
	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/upstream"
)

// Connections to endpoints.
const (
	// idleTime is how long a connection to an endpoint may be idle.
	idleTime = 8 * time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
	// defaultMaxConnections bounds the connections to an endpoint of an upstream
	// that sets no bound.
	defaultMaxConnections = 64
)

// Limits on callers.
const (
	// hardHeaderBytes is where the HTTP library cuts a caller off; up to there the
	// refusal of headers above the operator's limit says why.
	hardHeaderBytes = 256 << 10
)

// Edge is the process of one instance.
type Edge struct {
	settings Settings
	ports    Ports
	log      zerolog.Logger
	registry metrics.Registry
	// regions are those of all zones, in order.
	regions []string

	// bounds and seeds may change while the instance runs.
	bounds atomic.Pointer[Bounds]
	seeds  atomic.Pointer[[]string]

	loop  *control.Loop
	state *state // owned by loop

	// Snapshots for the goroutines that serve requests.
	catalog   atomic.Pointer[catalog.Catalog]
	table     atomic.Pointer[placement.Table]
	entries   atomic.Pointer[map[string][]string]
	instances atomic.Int64
	revision  atomic.Uint64
	// storeHeard is when the store last answered, in Unix nanoseconds.
	storeHeard atomic.Int64
	// storeLost says that the last call to follow the store failed.
	storeLost atomic.Bool
	// restsUntil is until when this instance leaves the store to its delegates, in Unix
	// nanoseconds.
	restsUntil atomic.Int64
	pulling    atomic.Bool
	leaving    atomic.Bool

	peers *link.Peers

	arrivals *allowance.DemandMeter
	lending  *lending
	retries  *allowance.RetryBudget
	splitter *catalog.Splitter
	steering *placement.RegionBalancer
	usual    *usual
	poison   *poison
	bodies   bodyMemory
	counters counters
}

// New returns an instance that is not yet listening.
func New(s Settings, ports Ports, log zerolog.Logger) *Edge {
	e := &Edge{
		settings: s,
		ports:    ports,
		log:      log.With().Str("instance", s.Instance).Logger(),
		registry: metrics.NewRegistry(),
		regions:  regionsOf(s.Zones),
		loop:     control.NewLoop("edge"),
		peers:    link.NewPeers(),
		arrivals: allowance.NewDemandMeter(),
		lending:  newLending(s.Instance, s.Zone, s.Bounds.QuotaWindow),
		retries:  allowance.NewRetryBudget(s.Bounds.retryOptions()),
		splitter: catalog.NewSplitter(),
		steering: placement.NewRegionBalancer(s.Region),
		usual:    newUsual(),
		poison:   newPoison(quarantine.Options{StrikeThreshold: strikesToQuarantine}),
	}
	e.bounds.Store(&s.Bounds)
	e.seeds.Store(&s.Seeds)
	e.bodies.limit = s.MemoryBytes / bodyMemoryPart
	e.counters = newCounters(e.registry)
	self := fleet.Member{Instance: s.Instance, Incarnation: time.Now().UnixMilli(), Zone: s.Zone, Region: s.Region,
		Callers: s.Callers, Link: s.Link}
	e.state = &state{
		edge:     e,
		mirror:   mirror.New(),
		fleet:    fleet.New(self),
		registry: placement.NewRegistry(s.Zones, e.pool),
		items:    make(map[string]Item),
	}
	e.table.Store(placement.NewTable())
	e.entries.Store(&map[string][]string{})
	e.instances.Store(1)
	return e
}

func regionsOf(zones map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(zones)))
}

// pool returns the connections to an endpoint, with this instance's part of the
// connections that the endpoint takes.
func (e *Edge) pool(record placement.Record) *upstream.Pool {
	limit := defaultMaxConnections
	if c := e.catalog.Load(); c != nil && c.Upstreams[record.Upstream].MaxConnections > 0 {
		limit = max(c.Upstreams[record.Upstream].MaxConnections/int(e.instances.Load()), 1)
	}
	return upstream.NewDialectPool(record.Address, e.ports.Upstreams, idleTime, maxIdle, limit)
}

// Run serves until ctx ends, then drains.
func (e *Edge) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	operators, err := operator.Handler(e.dump, e.registry, e.serveMetrics)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	links := link.NewServer(e.log, e.registry)
	links.Handle(fleet.TypeReport, e.reported)
	links.Handle(fleet.TypeExchange, e.exchanged)
	links.Handle(fleet.TypePull, e.pulled)
	links.Handle(fleet.TypeBorrow, e.lend)

	var group errgroup.Group
	group.Go(func() error { e.loop.Run(background); return nil })
	group.Go(func() error { e.loop.Every(background, tickInterval, e.state.tickNow); return nil })
	group.Go(func() error { return links.Serve(background, listeners.link) })
	group.Go(func() error {
		return e.serveBeside(background, listeners.readiness, http.HandlerFunc(e.serveReadiness))
	})
	group.Go(func() error { return e.serveBeside(background, listeners.lookUps, http.HandlerFunc(e.serveLookUp)) })
	if listeners.operator != nil {
		group.Go(func() error { return e.serveBeside(background, listeners.operator, operators) })
	}
	group.Go(func() error { e.follow(background); return nil })
	group.Go(func() error { e.join(background); return nil })
	group.Go(func() error { e.talk(background); return nil })
	group.Go(func() error { e.register(background); return nil })
	group.Go(func() error {
		defer stopBackground()
		return e.serveCallers(ctx, listeners.callers)
	})
	e.log.Info().Str("callers", e.settings.Callers).Str("zone", e.settings.Zone).Msg("instance started")
	err = group.Wait()
	e.log.Info().Msg("instance stopped")
	return err
}

// serveBeside serves a port beside the callers' one until ctx ends. Connections that
// are still open then are cut, which harms nobody.
func (e *Edge) serveBeside(ctx context.Context, listener net.Listener, handler http.Handler) error {
	err := operator.Serve(ctx, listener, handler, stopMargin)
	if ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		e.log.Info().Str("address", listener.Addr().String()).Msg("port was closed with open connections")
		return nil
	}
	return err
}

type listeners struct{ callers, readiness, lookUps, link, operator net.Listener }

func (e *Edge) listen() (listeners, error) {
	var l listeners
	for _, open := range []struct {
		target  *net.Listener
		address string
	}{
		{&l.callers, e.settings.Callers},
		{&l.readiness, e.settings.Readiness},
		{&l.lookUps, e.settings.LookUps},
		{&l.link, e.settings.Link},
		{&l.operator, e.settings.Operator},
	} {
		if open.address == "" {
			continue
		}
		listener, err := operator.Listen(open.address)
		if err != nil {
			return l, err
		}
		*open.target = listener
	}
	return l, nil
}
