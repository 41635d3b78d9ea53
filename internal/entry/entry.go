// Package entry assembles an entry process: the path of callers' requests, the
// control loop of the instance, the link to the other processes of the system and
// the operators' port.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"lovagescale/internal/action"
	"lovagescale/internal/call"
	"lovagescale/internal/callerconn"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/gateway"
	"lovagescale/internal/handover"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/intake"
	"lovagescale/internal/link"
	"lovagescale/internal/listener"
	"lovagescale/internal/lookup"
	"lovagescale/internal/membership"
	"lovagescale/internal/operator"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/refusal"
	"lovagescale/internal/routing"
	"lovagescale/internal/shift"
	"lovagescale/internal/store"
)

// incarnationRandomBytes is the number of random bytes in an incarnation's name.
const incarnationRandomBytes = 6

// serverHeaderLimitFactor times MaxHeaderBytes is the header size above which the HTTP
// server itself rejects a request. Up to that size the gateway refuses the request
// with a problem document.
const serverHeaderLimitFactor = 8

// Entry is one entry process.
type Entry struct {
	settings     Settings
	log          zerolog.Logger
	registry     metrics.Registry
	store        store.Client
	instanceList *instancelist.Client

	peers         *link.Peers
	loop          *control.Loop
	self          membership.Member
	membership    *membership.Core // only used on the control goroutine, except Options
	view          atomic.Pointer[membership.View]
	configuration atomic.Pointer[configuration.Configuration]
	changes       changeNotifier
	router        *routing.Router
	handover      *handover.Stage
	shiftGate     *shift.Gate
	drain         callerDrain
	pipelines     atomic.Pointer[pipeline.Listener] // nil until callers are served
	actions       *action.Stage
	gateway       *gateway.Gateway
	ownership     *ownershipController
	spread        *spreadController
	quotas        *quotaController
	stopping      atomic.Bool

	journalWriter *action.JournalWriter

	intake *intake.Intake
}

// listenerParts are the parts of the descriptors for the listeners of an entry.
var listenerParts = []listener.Part{listener.PartCallers, listener.PartLink, listener.PartOperator}

// New returns an entry that is not yet listening.
func New(s Settings, log zerolog.Logger) (*Entry, error) {
	incarnation, err := newIncarnation(s.Instance)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:     s,
		log:          log.With().Str("instance", s.Instance).Str("availability_zone", s.Zone).Logger(),
		registry:     metrics.NewRegistry(),
		store:        store.NewHTTPClient(s.Platform, "configuration", s.StoreTimeout.Std()),
		instanceList: instancelist.NewClient(s.Platform, s.StoreTimeout.Std()),
		peers:        link.NewPeers(),
		loop:         control.NewLoop("entry"),
		self: membership.Member{
			Instance:    s.Instance,
			Incarnation: incarnation,
			Zone:        s.Zone,
			Address:     s.Address,
			Link:        s.Link,
			State:       instancelist.Live,
		},
	}
	e.intake = intake.New(s.Process.WithDefaults(), listenerParts, e.registry, "entry.", e.log)
	e.changes.init()
	e.setUpMembership()
	e.setUpRouting()
	e.setUpHandover()
	e.setUpActions()
	e.quotas = newQuotaController(e, call.StageFunc(e.dispatch))
	e.gateway = gateway.New(time.Now, e.quotas.stage, e.log, e.registry,
		gateway.Options{
			MaxBodyBytes:   s.MaxBodyBytes,
			MaxHeaderBytes: s.MaxHeaderBytes,
			Isolation:      s.Isolation.Std(),
			RefusalOutcome: e.actions.RefusalOutcome,
			Memory:         e.intake.Memory,
		})
	e.spread = newSpreadController(e)
	return e, nil
}

// newIncarnation returns a unique name for one run of the instance's process.
func newIncarnation(instance string) (string, error) {
	raw := make([]byte, incarnationRandomBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return instance + "-" + hex.EncodeToString(raw), nil
}

// dispatch passes actions to the at-most-once stage and other calls to the handover
// stage.
func (e *Entry) dispatch(ctx context.Context, c *call.Call) (*call.Result, error) {
	if c.Kind == configuration.Action {
		return e.actions.Serve(ctx, c)
	}
	return e.handover.Serve(ctx, c)
}

// Run serves until ctx ends and then drains the entry; see drainCallers.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	operatorHandler, err := operator.Handler(e.dump, e.registry, nil)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	links := link.NewServer(e.log, e.registry)
	links.Limit(e.intake.Link())
	links.HandleStream(lookup.TypeFollow, e.serveLookupStream)
	links.Handle(membership.TypeExchange, e.handleMembershipRequest)
	e.spread.registerHandlers(links)
	e.quotas.registerHandlers(links)
	e.ownership.registerHandlers(links)
	links.Handle(handover.TypeCall, handover.Handler(e.handover))
	stopActions := e.serveActions(background, links)

	var group errgroup.Group
	group.Go(func() error { e.loop.Run(background); return nil })
	group.Go(func() error { return links.Serve(background, listeners.link) })
	group.Go(func() error {
		return operator.Serve(background, listeners.operator, operatorHandler, e.intake.Server("operators", listener.PartOperator), time.Second)
	})
	group.Go(func() error { return e.spread.run(background) })
	group.Go(func() error { return e.quotas.run(background) })
	group.Go(func() error { return e.ownership.run(background) })
	group.Go(func() error { e.runMembership(background); return nil })
	group.Go(func() error {
		defer stopBackground()
		defer stopActions()
		defer e.quotas.release(background)
		return e.serveCallers(ctx, listeners.callers)
	})
	e.log.Info().Str("address", e.settings.Address).Str("incarnation", e.self.Incarnation).Msg("entry started")
	err = group.Wait()
	e.log.Info().Msg("entry stopped")
	return err
}

type listeners struct{ callers, link, operator net.Listener }

func (e *Entry) listen() (listeners, error) {
	var l listeners
	for _, binding := range []struct {
		target  *net.Listener
		address string
		part    listener.Part
	}{
		{&l.callers, e.settings.Address, listener.PartCallers},
		{&l.link, e.settings.Link, listener.PartLink},
		{&l.operator, e.settings.Operator, listener.PartOperator},
	} {
		opened, err := listener.ListenWithin(binding.address, e.intake.Limits(binding.part))
		if err != nil {
			l.close()
			return l, err
		}
		*binding.target = opened
	}
	return l, nil
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.link, l.operator} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

func (e *Entry) serveCallers(ctx context.Context, opened net.Listener) error {
	limited := listener.Limit(opened, e.intake.Listener("callers", listener.PartCallers))
	pipelines := pipeline.NewListener(limited, pipeline.Options{Draining: e.drain.isLeaving, Registry: e.registry, Log: e.log,
		Memory: e.intake.ReadAhead, Heads: e.intake.Heads(e.maxHeadBytes, e.writeHeadRefusal)})
	e.pipelines.Store(pipelines)
	conns := callerconn.NewListener(pipelines)
	conns.EnlargeWithin(e.intake.Buffers)
	limited.OnFull(func() bool {
		return conns.MakeRoom(time.Now()) || e.intake.Memory.StopQuietest() || conns.Tracked() < limited.Open()
	})
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatch()
	go e.intake.Watch(watchCtx)
	go conns.EnforceTimeouts(watchCtx, func() callerconn.Timeouts { return callerconn.TimeoutsOf(nil) }, func(count int) {
		e.log.Info().Int("connections", count).Msg("callers' connections were quiet for too long")
	})
	server := &http.Server{
		Handler:        pipeline.Handler(e.drain.handler(e.gateway, e.gateway.Refuse), e.gateway.IsIdempotent),
		ConnContext:    callerconn.ConnContext,
		ConnState:      conns.Track,
		MaxHeaderBytes: serverHeaderLimitFactor * e.settings.MaxHeaderBytes,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(conns) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	return e.drainCallers(context.WithoutCancel(ctx), server)
}

// maxHeadBytes returns the size of headers above which a request is refused while they are read. Up
// to that size the gateway refuses it, which knows what is known of an action.
func (e *Entry) maxHeadBytes() int { return serverHeaderLimitFactor * e.settings.MaxHeaderBytes }

// writeHeadRefusal writes the refusal of a request whose head is not read to its end.
func (e *Entry) writeHeadRefusal(w http.ResponseWriter, refused *refusal.Refusal) {
	w.Header().Set(refusal.HeaderRequestID, uuid.NewString())
	refused.Write(w)
}

// changeNotifier wakes the lookup streams that wait for a new state.
type changeNotifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func (c *changeNotifier) init() { c.changed = make(chan struct{}) }

// nextChange returns a channel that is closed at the next change.
func (c *changeNotifier) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *changeNotifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}
