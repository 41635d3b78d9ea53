// Package catalog holds the operators' configuration in the form that request
// handling needs: routes by host and longest path prefix, upstreams, workspaces by
// key, and limits on callers.
//
// A Catalog is immutable and is replaced as a whole, so that a reader that holds
// one sees a single version throughout.
//
// A host or path without a route, or a key without a workspace, is reported as not
// found; there are no fallbacks. A process without a catalog must refuse requests
// as not configured and not run, never report their routes or keys as unknown.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/weighted"
)

// Kind specifies whether a request of a route may run more than once.
type Kind uint8

const (
	// AtMostOnce requests run at most once each time a caller sends them.
	AtMostOnce Kind = iota
	// Idempotent requests can safely run several times.
	Idempotent
)

// Route specifies how to handle the requests below a path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Upstreams are the upstreams among which the requests are split by weight.
	Upstreams []weighted.Weight
	// Timeout limits how long a request may take; 0 selects the default.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// MaxAttempts limits the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Priority orders the routes by urgency; 0 is the most urgent.
	Priority int
	// Open admits callers without a workspace key.
	Open bool
	// Sticky marks requests that run faster on an endpoint that has recently
	// handled the same object.
	Sticky bool
	// AllowedRegions lists the regions in which the requests may run; an empty list
	// allows every region.
	AllowedRegions []string
}

// Upstream is one back-end service.
type Upstream struct {
	Name string
	// MaxConnections limits the connections to one endpoint from all instances
	// together.
	MaxConnections int
	// ColdDuration is how long an endpoint stays cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a cold endpoint can
	// handle, from all instances together.
	ColdRate float64
}

// Workspace is one customer: its keys, its request rate and the regions in which
// its requests may run.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route; 0 is the most urgent.
	Priority int
	// Rate is in requests per second over all instances; 0 means no limit.
	Rate  float64
	Burst float64
	// AllowedRegions lists the regions in which the requests may run; an empty list
	// allows every region.
	AllowedRegions []string
}

// Limits restrict what a caller may send and how long it may take.
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

	routesByHost    map[string][]*Route
	workspacesByKey map[string]*Workspace
	// maxRoutePriority is the highest priority number of a route, at least 0.
	maxRoutePriority int
	// minWorkspacePriority is the lowest priority number of a workspace, 0 without
	// workspaces.
	minWorkspacePriority int
}

// New returns a catalog. The caller must not modify the arguments afterwards.
func New(version uint64, routes []*Route, upstreams []Upstream, workspaces []*Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version:         version,
		Upstreams:       make(map[string]Upstream, len(upstreams)),
		Workspaces:      make(map[string]*Workspace, len(workspaces)),
		Limits:          limits,
		routesByHost:    make(map[string][]*Route),
		workspacesByKey: make(map[string]*Workspace),
	}
	for _, upstream := range upstreams {
		c.Upstreams[upstream.Name] = upstream
	}
	for i, workspace := range workspaces {
		if i == 0 || workspace.Priority < c.minWorkspacePriority {
			c.minWorkspacePriority = workspace.Priority
		}
		c.Workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.workspacesByKey[key] = workspace
		}
	}
	for _, route := range routes {
		c.maxRoutePriority = max(c.maxRoutePriority, route.Priority)
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path, or false
// if there is none. A port in host is ignored.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range c.routesByHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Authenticate returns the workspace of the key, or false if no workspace has it.
func (c *Catalog) Authenticate(key string) (*Workspace, bool) {
	workspace, found := c.workspacesByKey[key]
	return workspace, found
}

// KeysRequired reports whether requests need a workspace key, which is the case as
// soon as the catalog has a workspace.
func (c *Catalog) KeysRequired() bool { return len(c.Workspaces) > 0 }

// Rank returns the position of a request in the order of urgency; 0 is the most
// urgent. The priority of the workspace takes precedence over that of the route.
// workspace may be nil.
func (c *Catalog) Rank(route *Route, workspace *Workspace) int {
	if workspace == nil {
		return route.Priority
	}
	return (workspace.Priority-c.minWorkspacePriority)*(c.maxRoutePriority+1) + route.Priority
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int {
	count := 0
	for _, routes := range c.routesByHost {
		count += len(routes)
	}
	return count
}

// AllowedRegionsOf returns the regions in which a request of the route for the
// workspace may run: those that both allow. restricted is false if every region is
// allowed. If it is true and the list is empty, no region is allowed. workspace may
// be nil.
func AllowedRegionsOf(route *Route, workspace *Workspace) (regions []string, restricted bool) {
	if workspace == nil || len(workspace.AllowedRegions) == 0 {
		return route.AllowedRegions, len(route.AllowedRegions) > 0
	}
	if len(route.AllowedRegions) == 0 {
		return workspace.AllowedRegions, true
	}
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}
