// Package catalog holds the operators' configuration in the form on which
// requests are decided: routes by host and longest path prefix, upstreams,
// workspaces by key, and limits on callers.
//
// A Catalog is immutable and swapped whole; a reader that holds one sees one
// version throughout.
//
// How it fails: a host or path without a route, or a key without a workspace,
// is reported as not found; nothing is guessed. A process without a catalog
// must refuse as "not run yet", never as unknown.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/weighted"
)

// Kind states how often a request of a route may run.
type Kind uint8

// The kinds of route.
const (
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce Kind = iota
	// Idempotent requests may run again without harm.
	Idempotent
)

// Route says what happens to the requests under a path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Parts are the upstreams that share the route's requests by weight.
	Parts []weighted.Weight
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full worth.
	Objective time.Duration
	// MaxTries bounds the endpoints that one request may be sent to.
	MaxTries int
	// Priority is 0 for the most urgent routes.
	Priority int
	// Open routes need no workspace key.
	Open bool
	// Sticky routes run faster on an endpoint that handled the object lately.
	Sticky bool
	// Homes are the regions in which the requests may run; empty is any.
	Homes []string
}

// Upstream is one back-end service.
type Upstream struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from all instances.
	MaxConnections int
	// ColdTime is how long an endpoint stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the requests per second that a cold endpoint bears, from all
	// instances together.
	ColdRate float64
}

// Workspace is one customer: its keys, its rate and where it may run.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route; 0 is the most urgent.
	Priority int
	// Rate is in requests per second over all instances; 0 is no bound.
	Rate  float64
	Burst float64
	Homes []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version    uint64
	Upstreams  map[string]Upstream
	Workspaces map[string]*Workspace
	Limits     Limits

	hosts map[string][]*Route
	keys  map[string]*Workspace
	// highest is the highest priority number of a route; lowestWorkspace and
	// highestWorkspace are the bounds of the workspaces'.
	highest          int
	lowestWorkspace  int
	highestWorkspace int
}

// New returns a catalog that owns its arguments.
func New(version uint64, routes []*Route, upstreams []Upstream, workspaces []*Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version:    version,
		Upstreams:  make(map[string]Upstream, len(upstreams)),
		Workspaces: make(map[string]*Workspace, len(workspaces)),
		Limits:     limits,
		hosts:      make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
	}
	for _, upstream := range upstreams {
		c.Upstreams[upstream.Name] = upstream
	}
	for i, workspace := range workspaces {
		if i == 0 || workspace.Priority < c.lowestWorkspace {
			c.lowestWorkspace = workspace.Priority
		}
		if i == 0 || workspace.Priority > c.highestWorkspace {
			c.highestWorkspace = workspace.Priority
		}
		c.Workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.keys[key] = workspace
		}
	}
	for _, route := range routes {
		c.highest = max(c.highest, route.Priority)
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that begins the
// path, or false. A port in host is passed over.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range c.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Authenticate returns the workspace that holds the key, or false.
func (c *Catalog) Authenticate(key string) (*Workspace, bool) {
	workspace, found := c.keys[key]
	return workspace, found
}

// KeysRequired reports whether requests need a workspace key.
func (c *Catalog) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Rank returns the urgency of a request, 0 for the most urgent ones. A workspace's
// priority goes before the route's; workspace may be nil.
func (c *Catalog) Rank(route *Route, workspace *Workspace) int {
	if workspace == nil {
		return route.Priority
	}
	return (workspace.Priority-c.lowestWorkspace)*(c.highest+1) + route.Priority
}

// Urgency returns a request's place among all ranks: 1 for the most urgent ones, 0
// for the least.
func (c *Catalog) Urgency(route *Route, workspace *Workspace) float64 {
	last := (c.highestWorkspace-c.lowestWorkspace)*(c.highest+1) + c.highest
	if last <= 0 {
		return 1
	}
	return 1 - float64(c.Rank(route, workspace))/float64(last)
}

// Routes returns the number of routes.
func (c *Catalog) Routes() int {
	n := 0
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}

// HomesOf returns the regions in which a request of the route for the
// workspace may run. restricted is false when every region may; when it is true
// and the list is empty, none may.
func HomesOf(route *Route, workspace *Workspace) (homes []string, restricted bool) {
	if workspace == nil || len(workspace.Homes) == 0 {
		return route.Homes, len(route.Homes) > 0
	}
	if len(route.Homes) == 0 {
		return workspace.Homes, true
	}
	for _, region := range route.Homes {
		if slices.Contains(workspace.Homes, region) {
			homes = append(homes, region)
		}
	}
	return homes, true
}
