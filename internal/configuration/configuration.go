// Package configuration parses, compiles, publishes and loads the configuration
// that operators write as a TOML text.
//
// A text is checked and compiled into content-addressed chunks and one manifest
// that lists their digests. Each region, zone, service and workspace has a chunk,
// and so have the keys of each workspace; the client blocks of a zone are spread
// over several. The manifest is written with compare-and-set and carries the
// revision; an instance accepts only a higher revision. Changing one table of the
// text therefore transfers one chunk and the manifest.
package configuration

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/workspacekey"
)

// RouteKind distinguishes idempotent requests from those that run at most once.
type RouteKind string

const (
	// Lookup routes carry idempotent requests.
	Lookup RouteKind = "lookup"
	// Action routes carry requests that run at most once.
	Action RouteKind = "action"
)

// Region is a compiled [region.NAME] table.
type Region struct {
	Name string `msgpack:"n" json:"name"`
	// LinkBytesPerSecond limits the traffic into the region; 0 means no limit.
	LinkBytesPerSecond float64 `msgpack:"l" json:"link_bytes_per_second"`
	// ShiftCapPerSecond limits how fast the traffic shifted into the region may
	// grow, in requests per second gained per second; 0 means no limit.
	ShiftCapPerSecond float64 `msgpack:"c" json:"shift_cap_per_second"`
}

// Zone is a compiled [zone.NAME] table.
type Zone struct {
	Name   string `msgpack:"n" json:"name"`
	Region string `msgpack:"r" json:"region"`
}

// Service is a compiled [service.NAME] table.
type Service struct {
	Name        string              `msgpack:"n" json:"name"`
	DependsOn   []string            `msgpack:"d" json:"depends_on"`
	Slots       int                 `msgpack:"s" json:"slots"`
	Connections int                 `msgpack:"c" json:"connections"`
	Timeout     time.Duration       `msgpack:"t" json:"timeout_ns"`
	Endpoints   map[string][]string `msgpack:"e" json:"endpoints"`
	// Routes are ordered by descending path length, then by name.
	Routes []Route `msgpack:"r" json:"routes"`
}

// Route is a compiled [service.NAME.route.NAME] table.
type Route struct {
	Name    string    `msgpack:"n" json:"name"`
	Path    string    `msgpack:"p" json:"path"`
	Methods []string  `msgpack:"m" json:"methods"`
	Kind    RouteKind `msgpack:"k" json:"kind"`
	Open    bool      `msgpack:"o" json:"open"`
}

// Workspace is a compiled [workspace.NAME] table.
type Workspace struct {
	Name          string        `msgpack:"n" json:"name"`
	RatePerSecond float64       `msgpack:"r" json:"rate_per_second"`
	Burst         float64       `msgpack:"b" json:"burst"`
	Services      []string      `msgpack:"s" json:"services"`
	Isolation     time.Duration `msgpack:"i" json:"isolation_ns"`
}

// Configuration is one loaded revision. It must not be modified after it has
// been handed to its readers.
type Configuration struct {
	Revision   uint64
	Regions    map[string]Region
	Zones      map[string]Zone
	Services   map[string]Service
	Workspaces map[string]Workspace
	// Blocks maps each zone to its client blocks, which stay encoded until a
	// lookup server needs them.
	Blocks map[string]EncodedBlocks
	// Keys maps key identifiers to their records.
	Keys map[string]workspacekey.Record
}

// RegionOf returns the region of a zone, or "" if the zone is unknown.
func (c *Configuration) RegionOf(zone string) string {
	return c.Zones[zone].Region
}

// Match returns the route with the longest path that covers the given path and
// allows the method. The path is relative to the service.
func (s Service) Match(method, path string) (Route, bool) {
	for _, route := range s.Routes {
		if slices.Contains(route.Methods, method) && hasPathPrefix(path, route.Path) {
			return route, true
		}
	}
	return Route{}, false
}

// hasPathPrefix reports whether path equals prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	if prefix == "/" || path == prefix {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// compileRoutes returns the routes in the order that Match needs: by descending
// path length, then by name.
func compileRoutes(routes map[string]RouteText) []Route {
	compiled := make([]Route, 0, len(routes))
	for _, name := range sortedKeys(routes) {
		route := routes[name]
		compiled = append(compiled, Route{
			Name:    name,
			Path:    route.Path,
			Methods: route.Methods,
			Kind:    RouteKind(route.Kind),
			Open:    route.Open,
		})
	}
	slices.SortStableFunc(compiled, func(a, b Route) int {
		return cmp.Compare(len(b.Path), len(a.Path))
	})
	return compiled
}
