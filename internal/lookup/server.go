package lookup

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"lovagescale/internal/control"
	"lovagescale/internal/link"
	"lovagescale/internal/operator"
	"lovagescale/internal/refusal"
	"lovagescale/internal/settings"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/wire"
)

// Timeouts of the streams from entries.
const (
	streamSilence = 3 * time.Second
	streamRetry   = 200 * time.Millisecond
	stopGrace     = 5 * time.Second
	// publishInterval is the longest time between two tables, so that the
	// owners in answers are stamped with a recent time.
	publishInterval = 5 * time.Second
)

// Settings are the static settings of a look-up process.
type Settings struct {
	Zone string `toml:"availability_zone"`
	// Address serves callers, Operator the operators.
	Address  string `toml:"address"`
	Operator string `toml:"operator"`
	// Entries are the link addresses of the zone's entry processes.
	Entries  []string `toml:"entries"`
	LogLevel string   `toml:"log_level"`
}

// Level implements settings.Checked.
func (s *Settings) Level() string { return s.LogLevel }

// Check implements settings.Checked.
func (s *Settings) Check(text *tomlfile.Text) {
	settings.RequireName(text, s.Zone, "availability_zone")
	settings.RequireAddress(text, s.Address, "address")
	settings.RequireAddress(text, s.Operator, "operator")
	if len(s.Entries) == 0 {
		text.Add("must name at least one entry's link address", "entries")
	}
	for _, entry := range s.Entries {
		settings.RequireAddress(text, entry, "entries")
	}
	settings.CheckLogLevel(text, s.LogLevel)
}

// Server is one look-up process.
type Server struct {
	settings Settings
	log      zerolog.Logger
	registry metrics.Registry
	loop     *control.Loop
	core     *Core
	table    atomic.Pointer[Table]
	heardAt  atomic.Int64
	// publishedAt belongs to the control goroutine.
	publishedAt time.Time
	answers     metrics.Meter
}

// NewServer returns a look-up process that is not yet listening.
func NewServer(s Settings, log zerolog.Logger) *Server {
	registry := metrics.NewRegistry()
	server := &Server{
		settings: s,
		log:      log.With().Str("availability_zone", s.Zone).Logger(),
		registry: registry,
		loop:     control.NewLoop("lookup"),
		core:     NewCore(s.Zone),
		answers:  metrics.GetOrRegisterMeter("lookup.answers", registry),
	}
	server.table.Store(server.core.Table())
	return server
}

// Run serves until ctx ends. It returns an *operator.ListenError when an
// address is taken.
func (s *Server) Run(ctx context.Context) error {
	callers, err := operator.Listen(s.settings.Address)
	if err != nil {
		return err
	}
	operators, err := operator.Listen(s.settings.Operator)
	if err != nil {
		_ = callers.Close()
		return err
	}
	operatorHandler, err := operator.Handler(s.dump, s.registry, nil)
	if err != nil {
		return err
	}
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { s.loop.Run(ctx); return nil })
	for _, entry := range s.settings.Entries {
		group.Go(func() error { s.follow(ctx, entry); return nil })
	}
	group.Go(func() error { return operator.Serve(ctx, callers, handler, stopGrace) })
	group.Go(func() error { return operator.Serve(ctx, operators, operatorHandler, time.Second) })
	s.log.Info().Str("address", s.settings.Address).Msg("look-up started")
	err = group.Wait()
	s.log.Info().Msg("look-up stopped")
	return err
}

// Handler returns the callers' port.
func (s *Server) Handler() (http.Handler, error) {
	app := operator.NewApp()
	app.Get("/v1/entries", s.answer)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// follow keeps the stream from one entry open until ctx ends.
func (s *Server) follow(ctx context.Context, entry string) {
	for ctx.Err() == nil {
		var request Follow
		if err := s.loop.Call(ctx, func() { request = s.core.Follow() }); err != nil {
			return
		}
		err := link.Stream(ctx, entry, TypeFollow, request, streamSilence, func(envelope wire.Envelope) error {
			return s.receive(ctx, entry, envelope)
		})
		s.log.Debug().Err(err).Str("entry", entry).Msg("stream from entry ended")
		_ = s.loop.Call(ctx, func() { // a stopped loop needs no news
			s.core.Silent(entry)
			s.publish()
		})
		select {
		case <-ctx.Done():
		case <-time.After(streamRetry):
		}
	}
}

// receive passes one message of a stream to the core.
func (s *Server) receive(ctx context.Context, entry string, envelope wire.Envelope) error {
	var err error
	switch envelope.Type {
	case TypeState:
		var state State
		if err := envelope.Decode(&state); err != nil {
			return err
		}
		err = s.loop.Call(ctx, func() {
			now := time.Now()
			if s.core.ReceiveState(now, entry, state) || now.Sub(s.publishedAt) >= publishInterval {
				s.publish()
			}
			s.heardAt.Store(now.UnixNano())
		})
	case TypeCatalogue:
		var catalogue Catalogue
		if err := envelope.Decode(&catalogue); err != nil {
			return err
		}
		err = s.loop.Call(ctx, func() {
			s.core.ReceiveCatalogue(catalogue)
			s.publish()
		})
	case TypeBlocks:
		return s.receiveBlocks(ctx, envelope)
	}
	return err
}

func (s *Server) receiveBlocks(ctx context.Context, envelope wire.Envelope) error {
	var blocks ZoneBlocks
	if err := envelope.Decode(&blocks); err != nil {
		return err
	}
	var malformed error
	err := s.loop.Call(ctx, func() {
		malformed = s.core.ReceiveBlocks(blocks)
		s.publish()
	})
	if err != nil {
		return err
	}
	return malformed
}

// publish runs on the control goroutine.
func (s *Server) publish() {
	s.publishedAt = time.Now()
	s.table.Store(s.core.Table())
	if heard := s.core.HeardAt(); !heard.IsZero() {
		s.heardAt.Store(heard.UnixNano())
	}
}

func (s *Server) answer(ctx iris.Context) {
	table := s.table.Load()
	service := ctx.URLParam("service")
	if s.heardAt.Load() == 0 {
		refuse(ctx, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no entry has been heard yet").After(time.Second))
		return
	}
	if !table.HasService(service) {
		refuse(ctx, refusal.New(http.StatusNotFound, refusal.ServiceUnknown, refusal.NotRun,
			fmt.Sprintf("service %q does not exist", service)))
		return
	}
	client, err := clientOf(ctx)
	if err != nil {
		refuse(ctx, refusal.New(http.StatusBadRequest, refusal.ClientInvalid, refusal.NotRun,
			fmt.Sprintf("client %q is not an IP address", ctx.URLParam("client"))))
		return
	}
	s.answers.Mark(1)
	age := time.Since(time.Unix(0, s.heardAt.Load()))
	_ = ctx.JSON(Answer{ // the caller may have gone
		Revision:  table.revision,
		AgeMillis: age.Milliseconds(),
		TTLMillis: AnswerTTL.Milliseconds(),
		Entries:   table.Entries(client, rand.Uint64()),
	})
}

func clientOf(ctx iris.Context) (netip.Addr, error) {
	if text := ctx.URLParam("client"); text != "" {
		return netip.ParseAddr(text)
	}
	peer, err := netip.ParseAddrPort(ctx.Request().RemoteAddr)
	return peer.Addr().Unmap(), err
}

func refuse(ctx iris.Context, refused *refusal.Refusal) {
	refused.Write(ctx.ResponseWriter())
}

// Dump is the state dump of a look-up process.
type Dump struct {
	Zone     string        `json:"availability_zone"`
	Revision uint64        `json:"revision"`
	Blocks   int           `json:"client_blocks"`
	Heard    []string      `json:"entries_heard"`
	Table    []AnswerEntry `json:"entries"`
}

func (s *Server) dump(ctx context.Context) (any, error) {
	dump := Dump{Zone: s.settings.Zone}
	err := s.loop.Call(ctx, func() {
		dump.Revision = s.core.catalogue.Revision
		dump.Blocks = s.core.blocks.size()
		dump.Heard = slices.Sorted(maps.Keys(s.core.states))
		dump.Table = s.core.Table().Entries(netip.Addr{}, 0)
	})
	return dump, err
}
