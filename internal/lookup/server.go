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
	"lovagescale/internal/intake"
	"lovagescale/internal/link"
	"lovagescale/internal/listener"
	"lovagescale/internal/operator"
	"lovagescale/internal/refusal"
	"lovagescale/internal/settings"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/wire"
)

// Timeouts and intervals of a lookup server.
const (
	// streamReadTimeout is the longest silence on a stream before it is closed.
	streamReadTimeout = 3 * time.Second
	streamRetryDelay  = 200 * time.Millisecond
	// shutdownTimeout is the time that requests of callers may take to end at shutdown.
	shutdownTimeout = 5 * time.Second
	// publishInterval is the time after which a state that changes nothing still leads to a
	// new table, so that the owner tokens in answers have a recent time stamp.
	publishInterval = 5 * time.Second
)

// Settings are the static settings of a lookup server.
type Settings struct {
	Zone string `toml:"availability_zone"`
	// Address is the address of the callers' port, Operator that of the operators' port.
	Address  string `toml:"address"`
	Operator string `toml:"operator"`
	// Entries holds the link addresses of the zone's entry instances.
	Entries []string `toml:"entries"`
	// Process limits the process.
	settings.Process
	LogLevel string `toml:"log_level"`
}

// Level implements settings.Checker.
func (s *Settings) Level() string { return s.LogLevel }

// Check implements settings.Checker.
func (s *Settings) Check(document *tomlfile.Document) {
	settings.RequireNonEmpty(document, s.Zone, "availability_zone")
	settings.RequireAddress(document, s.Address, "address")
	settings.RequireAddress(document, s.Operator, "operator")
	if len(s.Entries) == 0 {
		document.Add("must name at least one entry's link address", "entries")
	}
	for _, entry := range s.Entries {
		settings.RequireAddress(document, entry, "entries")
	}
	s.Process.Check(document)
	settings.CheckLogLevel(document, s.LogLevel)
}

// Server is one lookup server.
type Server struct {
	settings Settings
	log      zerolog.Logger
	registry metrics.Registry
	loop     *control.Loop
	core     *Core // used on the control goroutine only
	table    atomic.Pointer[Table]
	// lastReceivedAt is the time of the last state in Unix nanoseconds, or 0 if there is none.
	lastReceivedAt atomic.Int64
	publishedAt    time.Time // used on the control goroutine only
	answers        metrics.Meter
	intake         *intake.Intake
}

// callersPart is the part of the descriptors for callers, who have no other listener.
const callersPart = listener.PartCallers

// NewServer returns a lookup server that is not listening yet.
func NewServer(s Settings, log zerolog.Logger) *Server {
	registry := metrics.NewRegistry()
	server := &Server{
		settings: s,
		log:      log.With().Str("availability_zone", s.Zone).Logger(),
		registry: registry,
		loop:     control.NewLoop("lookup"),
		core:     NewCore(s.Zone),
		answers:  metrics.GetOrRegisterMeter("lookup.answers", registry),
		intake:   intake.New(s.Process.WithDefaults(), []listener.Part{callersPart, listener.PartOperator}, registry, "lookup.", log),
	}
	server.table.Store(server.core.Table())
	return server
}

// Run serves callers and operators until ctx ends. It returns an *listener.ListenError if it
// cannot listen on an address.
func (s *Server) Run(ctx context.Context) error {
	callerListener, err := listener.ListenWithin(s.settings.Address, s.intake.Limits(callersPart))
	if err != nil {
		return err
	}
	operatorListener, err := listener.ListenWithin(s.settings.Operator, s.intake.Limits(listener.PartOperator))
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	operatorHandler, err := operator.Handler(s.dump, s.registry, nil)
	if err != nil {
		return err
	}
	callerHandler, err := s.Handler()
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { s.loop.Run(ctx); return nil })
	for _, entry := range s.settings.Entries {
		group.Go(func() error { s.followEntry(ctx, entry); return nil })
	}
	group.Go(func() error {
		return operator.Serve(ctx, callerListener, callerHandler, s.intake.Server("callers", callersPart), shutdownTimeout)
	})
	group.Go(func() error {
		return operator.Serve(ctx, operatorListener, operatorHandler, s.intake.Server("operators", listener.PartOperator), time.Second)
	})
	s.log.Info().Str("address", s.settings.Address).Msg("lookup server started")
	err = group.Wait()
	s.log.Info().Msg("lookup server stopped")
	return err
}

// Handler returns the HTTP handler of the callers' port.
func (s *Server) Handler() (http.Handler, error) {
	app := operator.NewApp()
	app.Get("/v1/entries", s.serveEntries)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// followEntry keeps a stream from the entry instance with the link address open until ctx
// ends. It reopens a stream that has ended after streamRetryDelay.
func (s *Server) followEntry(ctx context.Context, entry string) {
	for ctx.Err() == nil {
		var request FollowRequest
		if err := s.loop.Call(ctx, func() { request = s.core.NewFollowRequest() }); err != nil {
			return
		}
		err := link.Stream(ctx, entry, TypeFollow, request, streamReadTimeout, func(envelope wire.Envelope) error {
			return s.handleMessage(ctx, entry, envelope)
		})
		s.log.Debug().Err(err).Str("entry", entry).Msg("stream from entry ended")
		_ = s.loop.Call(ctx, func() { // fails only at shutdown, when the state no longer matters
			s.core.HandleStreamEnd(entry)
			s.publishTable()
		})
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// handleMessage passes a message of a stream to the core. Messages of an unknown type are
// ignored.
func (s *Server) handleMessage(ctx context.Context, entry string, envelope wire.Envelope) error {
	var err error
	switch envelope.Type {
	case TypeState:
		var state State
		if err := envelope.Decode(&state); err != nil {
			return err
		}
		err = s.loop.Call(ctx, func() {
			now := time.Now()
			if s.core.HandleState(now, entry, state) || now.Sub(s.publishedAt) >= publishInterval {
				s.publishTable()
			}
			s.lastReceivedAt.Store(now.UnixNano())
		})
	case TypeCatalogue:
		var catalogue Catalogue
		if err := envelope.Decode(&catalogue); err != nil {
			return err
		}
		err = s.loop.Call(ctx, func() {
			s.core.HandleCatalogue(catalogue)
			s.publishTable()
		})
	case TypeBlocks:
		return s.handleBlocks(ctx, envelope)
	}
	return err
}

func (s *Server) handleBlocks(ctx context.Context, envelope wire.Envelope) error {
	var blocks ZoneBlocks
	if err := envelope.Decode(&blocks); err != nil {
		return err
	}
	var blocksErr error
	err := s.loop.Call(ctx, func() {
		blocksErr = s.core.HandleBlocks(blocks)
		s.publishTable()
	})
	if err != nil {
		return err
	}
	return blocksErr
}

// publishTable replaces the table that answers are taken from. It must run on the control
// goroutine.
func (s *Server) publishTable() {
	s.publishedAt = time.Now()
	s.table.Store(s.core.Table())
	if receivedAt := s.core.LastReceivedAt(); !receivedAt.IsZero() {
		s.lastReceivedAt.Store(receivedAt.UnixNano())
	}
}

// serveEntries answers a lookup.
func (s *Server) serveEntries(ctx iris.Context) {
	table := s.table.Load()
	service := ctx.URLParam("service")
	if s.lastReceivedAt.Load() == 0 {
		writeRefusal(ctx, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no entry has been heard yet").WithRetryAfter(time.Second))
		return
	}
	if !table.HasService(service) {
		writeRefusal(ctx, refusal.New(http.StatusNotFound, refusal.ServiceUnknown, refusal.NotRun,
			fmt.Sprintf("service %q does not exist", service)))
		return
	}
	client, err := clientAddress(ctx)
	if err != nil {
		writeRefusal(ctx, refusal.New(http.StatusBadRequest, refusal.ClientInvalid, refusal.NotRun,
			fmt.Sprintf("client %q is not an IP address", ctx.URLParam("client"))))
		return
	}
	s.answers.Mark(1)
	age := time.Since(time.Unix(0, s.lastReceivedAt.Load()))
	_ = ctx.JSON(Answer{ // fails if the caller has closed the connection
		Revision:  table.revision,
		AgeMillis: age.Milliseconds(),
		TTLMillis: AnswerTTL.Milliseconds(),
		Entries:   table.Entries(client, rand.Uint64()),
	})
}

// clientAddress returns the address in the query parameter client, or the caller's own one if
// there is none.
func clientAddress(ctx iris.Context) (netip.Addr, error) {
	if text := ctx.URLParam("client"); text != "" {
		return netip.ParseAddr(text)
	}
	peer, err := netip.ParseAddrPort(ctx.Request().RemoteAddr)
	return peer.Addr().Unmap(), err
}

func writeRefusal(ctx iris.Context, refused *refusal.Refusal) {
	refused.Write(ctx.ResponseWriter())
}

// Dump is the state dump of a lookup server. EntryLinks holds the link addresses of the entry
// instances that a state was received from. Entries holds those in an answer to a caller
// whose address is in no client block.
type Dump struct {
	Zone         string        `json:"availability_zone"`
	Revision     uint64        `json:"revision"`
	ClientBlocks int           `json:"client_blocks"`
	EntryLinks   []string      `json:"entries_heard"`
	Entries      []AnswerEntry `json:"entries"`
	// Intake is what clients can make the server hold.
	Intake intake.Description `json:"intake"`
}

func (s *Server) dump(ctx context.Context) (any, error) {
	dump := Dump{Zone: s.settings.Zone, Intake: s.intake.Describe()}
	err := s.loop.Call(ctx, func() {
		dump.Revision = s.core.catalogue.Revision
		dump.ClientBlocks = s.core.blocks.size()
		dump.EntryLinks = slices.Sorted(maps.Keys(s.core.entryStates))
		dump.Entries = s.core.Table().Entries(netip.Addr{}, 0)
	})
	return dump, err
}
