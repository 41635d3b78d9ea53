package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagescale/internal/instancelist"
	"lovagescale/internal/listener"
	"lovagescale/internal/settings"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// stopTimeout bounds the drain at shutdown. It also bounds the time to read a request's
// header.
const stopTimeout = time.Second

// Settings are the static settings of the stand-in.
type Settings struct {
	// Platform is the address of the store and the instance list.
	Platform string `toml:"platform"`
	// Control is the address where faults are set and counters are read.
	Control  string                  `toml:"control"`
	Instance []instancelist.Instance `toml:"instance"`
	Upstream []UpstreamSettings      `toml:"upstream"`
}

// UpstreamSettings describes the endpoints of one service in one zone.
type UpstreamSettings struct {
	Service   string   `toml:"service"`
	Zone      string   `toml:"availability_zone"`
	Addresses []string `toml:"addresses"`
	// Slots is the number of slots of each endpoint.
	Slots int `toml:"slots"`
	// Work is the processing time of a request.
	Work unit.Duration `toml:"work"`
}

// Level implements settings.Checker.
func (s *Settings) Level() string { return "" }

// Check implements settings.Checker.
func (s *Settings) Check(text *tomlfile.Document) {
	settings.RequireAddress(text, s.Platform, "platform")
	settings.RequireAddress(text, s.Control, "control")
	for _, upstream := range s.Upstream {
		settings.RequireNonEmpty(text, upstream.Service, "upstream", "service")
		for _, address := range upstream.Addresses {
			settings.RequireAddress(text, address, "upstream", "addresses")
		}
		if upstream.Slots < 1 {
			text.Add("must be at least 1", "upstream", "slots")
		}
	}
}

// Server runs the store, the instance list and all endpoints of the stand-in.
type Server struct {
	Store     *Store
	List      *List
	endpoints map[string]*Endpoint
	settings  Settings
}

// NewServer returns a stand-in with the given settings.
func NewServer(s Settings) *Server {
	server := &Server{
		Store:     NewStore(time.Now),
		List:      NewList(time.Now, s.Instance),
		endpoints: make(map[string]*Endpoint),
		settings:  s,
	}
	for _, upstream := range s.Upstream {
		for _, address := range upstream.Addresses {
			server.endpoints[address] = NewEndpoint(upstream.Service, upstream.Zone, address, upstream.Slots, upstream.Work.Std())
		}
	}
	return server
}

// Run serves until ctx ends. It returns an *listener.ListenError when an
// address is in use.
func (s *Server) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	platformMux := http.NewServeMux()
	platformMux.Handle("/", s.Store)
	platformMux.Handle(instancelist.PathInstances, s.List)
	if err := s.serve(ctx, tasks, s.settings.Platform, platformMux, nil); err != nil {
		return err
	}
	if err := s.serve(ctx, tasks, s.settings.Control, s.controlHandler(), nil); err != nil {
		return err
	}
	for address, endpoint := range s.endpoints {
		if err := s.serve(ctx, tasks, address, endpoint, endpoint.trackConnection); err != nil {
			return err
		}
	}
	return tasks.Wait()
}

func (s *Server) serve(ctx context.Context, tasks *errgroup.Group, address string, handler http.Handler, connState func(net.Conn, http.ConnState)) error {
	opened, err := listener.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: stopTimeout}
	tasks.Go(func() error {
		if err := server.Serve(opened); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	tasks.Go(func() error {
		<-ctx.Done()
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = server.Shutdown(drainCtx) // watches that still wait are closed after the timeout
		return server.Close()
	})
	return nil
}

func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults/store", func(w http.ResponseWriter, r *http.Request) {
		decodeBody(w, r, s.Store.SetFaults)
	})
	mux.HandleFunc("PUT /faults/leases", func(w http.ResponseWriter, _ *http.Request) {
		s.Store.LapseLeases()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /faults/list", func(w http.ResponseWriter, r *http.Request) {
		decodeBody(w, r, s.List.SetFaults)
	})
	mux.HandleFunc("PUT /faults/endpoint", s.handleEndpointFaults)
	mux.HandleFunc("PUT /instances", s.List.handlePut)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Store.Calls())
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		counters := []EndpointCounters{}
		for _, upstream := range s.settings.Upstream {
			for _, address := range upstream.Addresses {
				counters = append(counters, s.endpoints[address].Counters())
			}
		}
		writeJSON(w, http.StatusOK, counters)
	})
	return mux
}

func (s *Server) handleEndpointFaults(w http.ResponseWriter, r *http.Request) {
	endpoint, known := s.endpoints[r.URL.Query().Get("address")]
	if !known {
		http.NotFound(w, r)
		return
	}
	decodeBody(w, r, endpoint.SetFaults)
}

// decodeBody decodes the JSON body of a request into a T and passes it to apply.
func decodeBody[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	w.WriteHeader(http.StatusNoContent)
}
