// Package edge runs the single process of an instance on a platform whose endpoints
// register themselves. It serves callers' requests, lookups, readiness checks and the
// messages of the other instances. What depends on the platform is behind Ports.
//
// One goroutine (control.Loop) owns the control state: the mirror of the platform's
// store, the other instances and the registered endpoints. It publishes immutable
// snapshots for the goroutines that serve requests.
//
// Failure modes: without the store the instance continues with its mirror and pulls newer
// revisions from its peers. Without a configuration it is not ready and refuses every
// request, stating that it was not run. Without peers it holds an even share of its
// zone's quotas.
package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"lovagescale/internal/admission"
	"lovagescale/internal/allowance"
	"lovagescale/internal/bodymemory"
	"lovagescale/internal/catalog"
	"lovagescale/internal/control"
	"lovagescale/internal/fleet"
	"lovagescale/internal/intake"
	"lovagescale/internal/link"
	"lovagescale/internal/listener"
	"lovagescale/internal/mirror"
	"lovagescale/internal/operator"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/quotapool"
	"lovagescale/internal/reachability"
	"lovagescale/internal/regionmix"
	"lovagescale/internal/retryafter"
	"lovagescale/internal/store"
	"lovagescale/internal/trafficstats"
	"lovagescale/internal/upstream"
)

// Limits of the connections to endpoints.
const (
	// endpointIdleTimeout is how long a connection to an endpoint may be idle.
	endpointIdleTimeout = 8 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// defaultMaxConnections bounds the connections to an endpoint whose upstream sets no
	// limit.
	defaultMaxConnections = 64
)

// Limits of callers' requests.
const (
	// maxReadHeaderBytes is the size of the headers above which the HTTP library rejects
	// the request. Below it, headers that exceed the operator's limit get a refusal that
	// states the reason.
	maxReadHeaderBytes = 256 << 10
)

// listenerParts are the parts of the descriptors for the listeners of an instance.
var listenerParts = []listener.Part{listener.PartCallers, listener.PartReadiness, listener.PartLookups, listener.PartLink, listener.PartOperator}

// Edge is the process of one instance.
type Edge struct {
	settings Settings
	// startedAt is when the instance started.
	startedAt time.Time
	ports     Ports
	log       zerolog.Logger
	registry  metrics.Registry
	// regions are the regions of all zones, sorted.
	regions []string

	// bounds and seeds change when settings are reloaded.
	bounds atomic.Pointer[Bounds]
	seeds  atomic.Pointer[[]string]

	loop  *control.Loop
	state *state // owned by loop

	// Snapshots for the goroutines that serve requests.
	catalog atomic.Pointer[catalog.Catalog]
	table   atomic.Pointer[placement.Table]
	// callerAddresses are the addresses for lookups, by the caller's region. Those under
	// "" are for callers of any other region.
	callerAddresses atomic.Pointer[map[string][]string]
	instanceCount   atomic.Int64
	// position is that of the mirror of the store.
	position atomic.Pointer[store.Position]
	// ownStoreAnswerAt is the time of the store's last answer to this instance, in Unix
	// nanoseconds.
	ownStoreAnswerAt atomic.Int64
	// storeCallFailed is set if this instance's last read of the store failed.
	storeCallFailed atomic.Bool
	// delegatesFreshUntil is the time until which this instance relies on its delegates
	// to follow the store, in Unix nanoseconds.
	delegatesFreshUntil atomic.Int64
	pullInProgress      atomic.Bool
	// eraBegun gets a value when the store has begun a new era.
	eraBegun chan struct{}
	leaving  atomic.Bool
	// stopsAt is when a planned stop cuts the connections that are left, or nil.
	stopsAt atomic.Pointer[time.Time]

	peers *link.Peers
	// handoverPeers are links of their own, so that large bodies delay no reports.
	handoverPeers     *link.Peers
	handoverTargets   atomic.Pointer[[][]fleet.Member]
	handoversInFlight atomic.Int64

	workspaceDemand *allowance.DemandMeter
	pools           *quotapool.Pools
	tokens          *quotapool.TokenCache
	retryBudget     *allowance.RetryBudget
	splitter        *catalog.Splitter
	balancer        *placement.RegionBalancer
	stats           *trafficstats.Stats
	regionMix       *regionmix.Mix
	objects         *placement.Objects
	runTimes        *placement.RunTimes
	quarantine      *quarantineTable
	reach           *reachability.Tracker
	retrySchedule   *retryafter.Schedule
	rateReturns     *retryafter.Spacing
	// probesDone is closed when the last probes of endpoints have ended.
	probesDone atomic.Pointer[chan struct{}]
	sharing    sharing
	hedging    hedging
	pipelines  atomic.Pointer[pipeline.Listener]
	memory     *bodymemory.Memory
	intake     *intake.Intake
	// responseSizes are the expected sizes of responses by route.
	responseSizes *bodymemory.Sizes
	counters      counters
}

// New returns an instance that is not yet listening.
func New(s Settings, ports Ports, log zerolog.Logger) *Edge {
	if ports.DialEndpoint == nil {
		ports.DialEndpoint = upstream.Dial
	}
	self := fleet.Member{Instance: s.Instance, Incarnation: time.Now().UnixMilli(), Zone: s.Zone, Region: s.Region,
		Callers: s.Callers, Link: s.Link}
	e := &Edge{
		settings:        s,
		startedAt:       time.Now(),
		ports:           ports,
		log:             log.With().Str("instance", s.Instance).Logger(),
		registry:        metrics.NewRegistry(),
		regions:         regionsOf(s.Zones),
		loop:            control.NewLoop("edge"),
		peers:           link.NewPeers(),
		handoverPeers:   link.NewPeers(),
		workspaceDemand: allowance.NewDemandMeter(),
		pools:           quotapool.New(self, s.Bounds.QuotaWindow, tickInterval),
		tokens:          quotapool.NewTokenCache(),
		retryBudget:     allowance.NewRetryBudget(s.Bounds.retryOptions()),
		splitter:        catalog.NewSplitter(),
		balancer:        placement.NewRegionBalancer(s.Region),
		stats:           trafficstats.New(),
		regionMix:       regionmix.New(),
		objects:         placement.NewObjects(),
		runTimes:        placement.NewRunTimes(),
		quarantine:      newQuarantineTable(quarantine.Options{StrikeThreshold: strikeThreshold}),
		reach:           reachability.NewTracker(time.Now()),
		retrySchedule:   retryafter.NewSchedule(),
		rateReturns:     retryafter.NewSpacing(),
		eraBegun:        make(chan struct{}, 1),
	}
	e.bounds.Store(&s.Bounds)
	e.seeds.Store(&s.Seeds)
	e.position.Store(&store.Position{})
	e.counters = newCounters(e.registry)
	e.sharing.gate = admission.NewGate()
	e.intake = intake.New(s.Process.WithDefaults(), listenerParts, e.registry, "edge.", e.log)
	e.initMemory(e.intake.Memory)
	e.hedging = newHedging(e.registry)
	e.state = &state{
		edge:      e,
		mirror:    mirror.New(),
		fleet:     fleet.New(self),
		registry:  placement.NewRegistry(s.Zones, e.newPool),
		resources: make(map[string]Resource),
		pinnedUse: make(map[string]time.Time),
		random:    rand.Float64,
	}
	e.state.fleet.SetCapacity(s.Capacity)
	e.table.Store(placement.NewTable())
	e.callerAddresses.Store(&map[string][]string{})
	e.handoverTargets.Store(&[][]fleet.Member{})
	e.instanceCount.Store(1)
	return e
}

func regionsOf(zones map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(zones)))
}

// newPool returns the connection pool of an endpoint. Its limit is this instance's share
// of the connections that the endpoint accepts.
func (e *Edge) newPool(record placement.Record) *upstream.Pool {
	limit := defaultMaxConnections
	if c := e.catalog.Load(); c != nil && c.Upstreams[record.Upstream].MaxConnections > 0 {
		limit = max(c.Upstreams[record.Upstream].MaxConnections/int(e.instanceCount.Load()), 1)
	}
	return upstream.NewDialectPool(record.Address, e.ports.Upstreams, endpointIdleTimeout, maxIdlePerEndpoint, limit).
		WithDialer(e.ports.DialEndpoint)
}

// Run serves until ctx ends, then drains the callers' connections.
func (e *Edge) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	operatorHandler, err := operator.Handler(e.dump, e.registry, e.serveMetrics)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	linkServer := link.NewServer(e.log, e.registry)
	linkServer.Limit(e.intake.Link())
	linkServer.Handle(fleet.TypeReport, e.handleReport)
	linkServer.Handle(fleet.TypeExchange, e.handleExchange)
	linkServer.Handle(fleet.TypePull, e.handlePull)
	linkServer.Handle(fleet.TypeBorrow, e.handleBorrow)
	linkServer.Handle(fleet.TypeReturn, e.handleReturn)
	linkServer.Handle(fleet.TypeStateQuery, e.handleStateQuery)
	linkServer.Handle(fleet.TypeHandover, e.handleHandover)

	var group errgroup.Group
	group.Go(func() error { e.loop.Run(background); return nil })
	group.Go(func() error { e.loop.Every(background, tickInterval, e.state.tickNow); return nil })
	group.Go(func() error { return linkServer.Serve(background, listeners.link) })
	group.Go(func() error {
		return e.serveAuxiliary(background, listeners.readiness, http.HandlerFunc(e.serveReadiness), e.intake.Server("readiness", listener.PartReadiness))
	})
	group.Go(func() error {
		return e.serveAuxiliary(background, listeners.lookups, http.HandlerFunc(e.serveLookup), e.intake.Server("lookups", listener.PartLookups))
	})
	if listeners.operator != nil {
		group.Go(func() error {
			return e.serveAuxiliary(background, listeners.operator, operatorHandler, e.intake.Server("operators", listener.PartOperator))
		})
	}
	group.Go(func() error { e.followStore(background); return nil })
	group.Go(func() error { e.pullFromSeeds(background); return nil })
	group.Go(func() error { e.sendMessages(background); return nil })
	group.Go(func() error { e.keepRegistered(background); return nil })
	group.Go(func() error {
		defer stopBackground()
		return e.serveCallers(ctx, listeners.callers)
	})
	e.log.Info().Str("callers", e.settings.Callers).Str("zone", e.settings.Zone).Msg("instance started")
	err = group.Wait()
	e.log.Info().Msg("instance stopped")
	return err
}

// serveAuxiliary serves a port other than the callers' one until ctx ends. Connections
// that are still open then are closed, since no caller's request depends on them.
func (e *Edge) serveAuxiliary(ctx context.Context, opened net.Listener, handler http.Handler, limits operator.Limits) error {
	err := operator.Serve(ctx, opened, handler, limits, stopMargin)
	if ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		e.log.Info().Str("address", opened.Addr().String()).Msg("port closed while connections were still open")
		return nil
	}
	return err
}

type listeners struct{ callers, readiness, lookups, link, operator net.Listener }

func (e *Edge) listen() (listeners, error) {
	var l listeners
	for _, port := range []struct {
		target  *net.Listener
		address string
		part    listener.Part
	}{
		{&l.callers, e.settings.Callers, listener.PartCallers},
		{&l.readiness, e.settings.Readiness, listener.PartReadiness},
		{&l.lookups, e.settings.Lookups, listener.PartLookups},
		{&l.link, e.settings.Link, listener.PartLink},
		{&l.operator, e.settings.Operator, listener.PartOperator},
	} {
		if port.address == "" {
			continue
		}
		opened, err := listener.ListenWithin(port.address, e.intake.Limits(port.part))
		if err != nil {
			return l, err
		}
		*port.target = opened
	}
	return l, nil
}
