package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagescale/internal/instancelist"
	"lovagescale/internal/operator"
	"lovagescale/internal/settings"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// stopGrace bounds the drain at a stop.
const stopGrace = time.Second

// Settings are the static settings of the stand-in.
type Settings struct {
	// Platform serves the store and the instance list.
	Platform string `toml:"platform"`
	// Control switches faults.
	Control  string                  `toml:"control"`
	Instance []instancelist.Instance `toml:"instance"`
	Upstream []UpstreamSettings      `toml:"upstream"`
}

// UpstreamSettings describes the endpoints of one service in one zone.
type UpstreamSettings struct {
	Service   string        `toml:"service"`
	Zone      string        `toml:"availability_zone"`
	Addresses []string      `toml:"addresses"`
	Slots     int           `toml:"slots"`
	Work      unit.Duration `toml:"work"`
}

// Level implements settings.Checked.
func (s *Settings) Level() string { return "" }

// Check implements settings.Checked.
func (s *Settings) Check(text *tomlfile.Text) {
	settings.RequireAddress(text, s.Platform, "platform")
	settings.RequireAddress(text, s.Control, "control")
	for _, upstream := range s.Upstream {
		settings.RequireName(text, upstream.Service, "upstream", "service")
		for _, address := range upstream.Addresses {
			settings.RequireAddress(text, address, "upstream", "addresses")
		}
		if upstream.Slots < 1 {
			text.Add("must be at least 1", "upstream", "slots")
		}
	}
}

// Server is the whole stand-in.
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
	for _, group := range s.Upstream {
		for _, address := range group.Addresses {
			server.endpoints[address] = NewEndpoint(group.Service, group.Zone, address, group.Slots, group.Work.Std())
		}
	}
	return server
}

// Run serves until ctx ends. It returns an *operator.ListenError when an
// address is taken.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	platformMux := http.NewServeMux()
	platformMux.Handle("/", s.Store)
	platformMux.Handle(instancelist.PathInstances, s.List)
	if err := s.serve(ctx, group, s.settings.Platform, platformMux, nil); err != nil {
		return err
	}
	if err := s.serve(ctx, group, s.settings.Control, s.control(), nil); err != nil {
		return err
	}
	for address, endpoint := range s.endpoints {
		if err := s.serve(ctx, group, address, endpoint, endpoint.connState); err != nil {
			return err
		}
	}
	return group.Wait()
}

func (s *Server) serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler, connState func(net.Conn, http.ConnState)) error {
	listener, err := operator.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: stopGrace}
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
		defer cancel()
		_ = server.Shutdown(drain) // waiting watches are cut after the grace
		return server.Close()
	})
	return nil
}

func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults/store", func(w http.ResponseWriter, r *http.Request) {
		decodeAnd(w, r, s.Store.SetFaults)
	})
	mux.HandleFunc("PUT /faults/leases", func(w http.ResponseWriter, _ *http.Request) {
		s.Store.LapseLeases()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /faults/list", func(w http.ResponseWriter, r *http.Request) {
		decodeAnd(w, r, s.List.SetFaults)
	})
	mux.HandleFunc("PUT /faults/endpoint", s.endpointFaults)
	mux.HandleFunc("PUT /instances", s.List.putHandler)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Store.Calls())
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		runs := []Runs{}
		for _, group := range s.settings.Upstream {
			for _, address := range group.Addresses {
				runs = append(runs, s.endpoints[address].Runs())
			}
		}
		writeJSON(w, http.StatusOK, runs)
	})
	return mux
}

func (s *Server) endpointFaults(w http.ResponseWriter, r *http.Request) {
	endpoint, known := s.endpoints[r.URL.Query().Get("address")]
	if !known {
		http.NotFound(w, r)
		return
	}
	decodeAnd(w, r, endpoint.SetFaults)
}

// decodeAnd reads the body into a T and passes it to use.
func decodeAnd[T any](w http.ResponseWriter, r *http.Request, use func(T)) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	use(value)
	w.WriteHeader(http.StatusNoContent)
}
