// Package configuration is the operators' text from its parsing to its use.
//
// A text is checked and compiled into content-addressed chunks, one for each
// region, zone, service, workspace and workspace's keys, and one manifest that
// names them. The manifest is written with compare-and-set and carries the
// revision; an instance takes only a higher revision. A change of one entry
// moves one chunk and the manifest.
package configuration

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/workspacekey"
)

// RouteKind tells idempotent requests from those that run at most once.
type RouteKind string

// The kinds of route.
const (
	Lookup RouteKind = "lookup"
	Action RouteKind = "action"
)

// Region is a compiled [region.NAME] table.
type Region struct {
	Name string `msgpack:"n" json:"name"`
	// LinkBytesPerSecond bounds the traffic into the region; 0 is no bound.
	LinkBytesPerSecond float64 `msgpack:"l" json:"link_bytes_per_second"`
	// ShiftCapPerSecond bounds the growth of traffic shifted into the region;
	// 0 is no bound.
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

// Configuration is one revision in force. It is immutable once published.
type Configuration struct {
	Revision   uint64
	Regions    map[string]Region
	Zones      map[string]Zone
	Services   map[string]Service
	Workspaces map[string]Workspace
	// Blocks maps zones to their client blocks, which stay encoded until a
	// look-up process needs them.
	Blocks map[string]EncodedBlocks
	// Keys maps a key identifier to its record.
	Keys map[string]workspacekey.Record
}

// RegionOf returns the region of a zone, or "".
func (c *Configuration) RegionOf(zone string) string {
	return c.Zones[zone].Region
}

// Match returns the service's route for a path below the service.
func (s Service) Match(method, path string) (Route, bool) {
	for _, route := range s.Routes {
		if slices.Contains(route.Methods, method) && underPath(path, route.Path) {
			return route, true
		}
	}
	return Route{}, false
}

func underPath(path, prefix string) bool {
	if prefix == "/" || path == prefix {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

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
