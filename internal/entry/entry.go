// Package entry assembles an entry process: the callers' request path, the
// control loop of its instance, the link to the system's other processes and
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

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"lovagescale/internal/action"
	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/gateway"
	"lovagescale/internal/handover"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/link"
	"lovagescale/internal/lookup"
	"lovagescale/internal/membership"
	"lovagescale/internal/operator"
	"lovagescale/internal/routing"
	"lovagescale/internal/shift"
	"lovagescale/internal/store"
)

// incarnationBytes is the random part of an incarnation's name.
const incarnationBytes = 6

// hardHeaderFactor times the limit of headers is where the HTTP library cuts a
// caller off; up to there the gateway refuses by itself and says so.
const hardHeaderFactor = 8

// readHeaderTimeout bounds a slow caller.
const readHeaderTimeout = 5 * time.Second

// Entry is one entry process.
type Entry struct {
	settings Settings
	log      zerolog.Logger
	registry metrics.Registry
	store    store.Client
	list     *instancelist.Client

	peers     *link.Peers
	loop      *control.Loop
	self      membership.Member
	members   *membership.Core // owned by loop
	view      atomic.Pointer[membership.View]
	current   atomic.Pointer[configuration.Configuration]
	changes   changes
	router    *routing.Router
	handing   *handover.Stage
	gate      *shift.Gate
	drain     drain
	actions   *action.Stage
	gateway   *gateway.Gateway
	owning    *owning
	spreading *spreading
	quotas    *quotas
	stopping  atomic.Bool

	journaling *action.JournalWriter // keeps the journal of actions
}

// New returns an entry that is not yet listening.
func New(s Settings, log zerolog.Logger) (*Entry, error) {
	incarnation, err := newIncarnation(s.Instance)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: s,
		log:      log.With().Str("instance", s.Instance).Str("availability_zone", s.Zone).Logger(),
		registry: metrics.NewRegistry(),
		store:    store.NewHTTPClient(s.Platform, "configuration", s.StoreTimeout.Std()),
		list:     instancelist.NewClient(s.Platform, s.StoreTimeout.Std()),
		peers:    link.NewPeers(),
		loop:     control.NewLoop("entry"),
		self: membership.Member{
			Instance:    s.Instance,
			Incarnation: incarnation,
			Zone:        s.Zone,
			Address:     s.Address,
			Link:        s.Link,
			State:       instancelist.Live,
		},
	}
	e.changes.init()
	e.setUpMembers()
	e.setUpRouting()
	e.setUpHandover()
	e.setUpActions()
	e.quotas = newQuotas(e, call.StageFunc(e.dispatch))
	e.gateway = gateway.New(time.Now, e.quotas.stage, e.log, e.registry,
		gateway.Options{
			MaxBodyBytes:   s.MaxBodyBytes,
			MaxHeaderBytes: s.MaxHeaderBytes,
			Isolation:      s.Isolation.Std(),
			Vouch:          e.actions.RefusalOutcome,
		})
	e.spreading = newSpreading(e)
	return e, nil
}

// newIncarnation names one run of the instance's process.
func newIncarnation(instance string) (string, error) {
	raw := make([]byte, incarnationBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return instance + "-" + hex.EncodeToString(raw), nil
}

// dispatch passes actions through the at-most-once stage.
func (e *Entry) dispatch(ctx context.Context, c *call.Call) (*call.Result, error) {
	if c.Kind == configuration.Action {
		return e.actions.Serve(ctx, c)
	}
	return e.handing.Serve(ctx, c)
}

// Run serves until ctx ends, then drains as drainCallers says.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	operators, err := operator.Handler(e.dump, e.registry, nil)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	links := link.NewServer(e.log, e.registry)
	links.HandleStream(lookup.TypeFollow, e.follow)
	links.Handle(membership.TypeExchange, e.exchange)
	e.spreading.handle(links)
	e.quotas.handle(links)
	e.owning.handle(links)
	links.Handle(handover.TypeCall, handover.Handler(e.handing))
	endActions := e.serveActions(background, links)

	var group errgroup.Group
	group.Go(func() error { e.loop.Run(background); return nil })
	group.Go(func() error { return links.Serve(background, listeners.link) })
	group.Go(func() error { return operator.Serve(background, listeners.operator, operators, time.Second) })
	group.Go(func() error { return e.spreading.run(background) })
	group.Go(func() error { return e.quotas.run(background) })
	group.Go(func() error { return e.owning.run(background) })
	group.Go(func() error { e.watchMembers(background); return nil })
	group.Go(func() error {
		defer stopBackground()
		defer endActions()
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
	for _, open := range []struct {
		target  *net.Listener
		address string
	}{
		{&l.callers, e.settings.Address},
		{&l.link, e.settings.Link},
		{&l.operator, e.settings.Operator},
	} {
		listener, err := operator.Listen(open.address)
		if err != nil {
			l.close()
			return l, err
		}
		*open.target = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.link, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (e *Entry) serveCallers(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           e.drain.handler(e.gateway, e.gateway.Refuse),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    hardHeaderFactor * e.settings.MaxHeaderBytes,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return e.drainCallers(context.WithoutCancel(ctx), server)
}

// changes wakes the streams that wait for a new state.
type changes struct {
	mu      sync.Mutex
	waiting chan struct{}
}

func (c *changes) init() { c.waiting = make(chan struct{}) }

// next returns a channel that is closed at the next change.
func (c *changes) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

func (c *changes) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.waiting)
	c.waiting = make(chan struct{})
}
