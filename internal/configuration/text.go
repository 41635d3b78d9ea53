package configuration

import (
	"net/netip"
	"path"
	"strings"

	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// Text is the operators' TOML text.
type Text struct {
	Region    map[string]RegionText    `toml:"region"`
	Zone      map[string]ZoneText      `toml:"zone"`
	Service   map[string]ServiceText   `toml:"service"`
	Workspace map[string]WorkspaceText `toml:"workspace"`
}

// RegionText is a [region.NAME] table.
type RegionText struct {
	// LinkBandwidth is the bandwidth of the link into the region.
	LinkBandwidth unit.ByteRate `toml:"link_bandwidth"`
	// ShiftCap bounds how fast traffic shifted into the region may grow, in
	// requests per second gained per second.
	ShiftCap unit.Rate `toml:"shift_cap"`
}

// ZoneText is a [zone.NAME] table.
type ZoneText struct {
	Region       string   `toml:"region"`
	ClientBlocks []string `toml:"client_blocks"`
}

// ServiceText is a [service.NAME] table.
type ServiceText struct {
	DependsOn []string `toml:"depends_on"`
	// Slots is the number of requests an endpoint runs at once.
	Slots int `toml:"slots"`
	// Connections bounds the connections to one endpoint, over all instances.
	Connections int                  `toml:"connections"`
	Timeout     unit.Duration        `toml:"timeout"`
	Endpoints   map[string][]string  `toml:"endpoints"`
	Route       map[string]RouteText `toml:"route"`
}

// RouteText is a [service.NAME.route.NAME] table.
type RouteText struct {
	Path    string   `toml:"path"`
	Methods []string `toml:"methods"`
	Kind    string   `toml:"kind"`
	// Open serves callers without a workspace key.
	Open bool `toml:"open"`
}

// WorkspaceText is a [workspace.NAME] table.
type WorkspaceText struct {
	Rate     unit.Rate `toml:"rate"`
	Burst    float64   `toml:"burst"`
	Services []string  `toml:"services"`
	// Isolation is how long an instance that hears neither the store nor an
	// informed peer goes on serving the workspace.
	Isolation unit.Duration `toml:"isolation"`
}

// Parse reads and checks a text. It returns tomlfile.Problems with every fault
// found.
func Parse(name string, data []byte) (*Text, error) {
	var text Text
	file, err := tomlfile.Decode(name, data, &text)
	if err != nil {
		return nil, err
	}
	checker := &checker{text: &text, file: file}
	checker.zones()
	checker.services()
	checker.workspaces()
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &text, nil
}

// checker adds the faults of a text to its file.
type checker struct {
	text *Text
	file *tomlfile.Text
}

func (c *checker) zones() {
	if len(c.text.Zone) == 0 {
		c.file.Add("text has no availability zone", "zone")
	}
	owner := make(map[netip.Prefix]string)
	for _, name := range sortedKeys(c.text.Zone) {
		zone := c.text.Zone[name]
		if _, known := c.text.Region[zone.Region]; !known {
			c.file.Addf([]string{"zone", name, "region"}, "region %q does not exist", zone.Region)
		}
		for _, block := range zone.ClientBlocks {
			c.clientBlock(name, block, owner)
		}
	}
}

func (c *checker) clientBlock(zone, block string, owner map[netip.Prefix]string) {
	at := []string{"zone", zone, "client_blocks"}
	prefix, err := netip.ParsePrefix(block)
	if err != nil || prefix != prefix.Masked() {
		c.file.Addf(at, "%q is not a client block (example: \"10.1.0.0/16\")", block)
		return
	}
	if other, taken := owner[prefix]; taken {
		c.file.Addf(at, "client block %q already belongs to zone %q", block, other)
		return
	}
	owner[prefix] = zone
}

func (c *checker) services() {
	for _, name := range sortedKeys(c.text.Service) {
		service := c.text.Service[name]
		c.serviceLimits(name, service)
		c.dependencies(name, service)
		c.endpoints(name, service)
		c.routes(name, service)
	}
	c.cycles()
}

func (c *checker) serviceLimits(name string, service ServiceText) {
	if name == "v1" || strings.Contains(name, "/") {
		c.file.Addf([]string{"service", name}, "service name %q is reserved", name)
	}
	if service.Slots < 1 {
		c.file.Add("must be at least 1", "service", name, "slots")
	}
	if service.Connections < service.Slots {
		c.file.Addf([]string{"service", name, "connections"}, "must be at least slots (%d)", service.Slots)
	}
	if service.Timeout <= 0 {
		c.file.Add("must be above 0", "service", name, "timeout")
	}
}

func (c *checker) dependencies(name string, service ServiceText) {
	for _, dependency := range service.DependsOn {
		if _, known := c.text.Service[dependency]; !known {
			c.file.Addf([]string{"service", name, "depends_on"}, "service %q does not exist", dependency)
		}
	}
}

func (c *checker) endpoints(name string, service ServiceText) {
	seen := make(map[string]string)
	for _, zone := range sortedKeys(service.Endpoints) {
		at := []string{"service", name, "endpoints", zone}
		if _, known := c.text.Zone[zone]; !known {
			c.file.Addf(at, "availability zone %q does not exist", zone)
		}
		for _, address := range service.Endpoints[zone] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				c.file.Addf(at, "%q is not an address (example: \"10.1.2.3:8080\")", address)
			}
			if other, taken := seen[address]; taken {
				c.file.Addf(at, "endpoint %q already stands in zone %q", address, other)
			}
			seen[address] = zone
		}
	}
}

func (c *checker) routes(name string, service ServiceText) {
	if len(service.Route) == 0 {
		c.file.Addf([]string{"service", name}, "service %q has no route", name)
	}
	for _, routeName := range sortedKeys(service.Route) {
		route := service.Route[routeName]
		at := []string{"service", name, "route", routeName}
		if !strings.HasPrefix(route.Path, "/") || path.Clean(route.Path) != route.Path {
			c.file.Addf(append(at, "path"), "%q is not a clean absolute path", route.Path)
		}
		if len(route.Methods) == 0 {
			c.file.Add("must name at least one method", append(at, "methods")...)
		}
		if route.Kind != string(Lookup) && route.Kind != string(Action) {
			c.file.Addf(append(at, "kind"), "%q is neither %q nor %q", route.Kind, Lookup, Action)
		}
		if route.Open && route.Kind == string(Action) {
			c.file.Add("an action cannot be open to all, it must be traceable to a workspace", append(at, "open")...)
		}
	}
}

// cycles reports each service that depends on itself.
func (c *checker) cycles() {
	for _, name := range sortedKeys(c.text.Service) {
		if c.reaches(name, name, make(map[string]bool)) {
			c.file.Addf([]string{"service", name, "depends_on"}, "service %q depends on itself", name)
		}
	}
}

func (c *checker) reaches(from, target string, visited map[string]bool) bool {
	for _, next := range c.text.Service[from].DependsOn {
		if next == target {
			return true
		}
		if visited[next] {
			continue
		}
		visited[next] = true
		if c.reaches(next, target, visited) {
			return true
		}
	}
	return false
}

func (c *checker) workspaces() {
	for _, name := range sortedKeys(c.text.Workspace) {
		workspace := c.text.Workspace[name]
		if workspace.Rate <= 0 {
			c.file.Add("must be above 0", "workspace", name, "rate")
		}
		if workspace.Burst < 1 {
			c.file.Add("must be at least 1", "workspace", name, "burst")
		}
		for _, service := range workspace.Services {
			if _, known := c.text.Service[service]; !known {
				c.file.Addf([]string{"workspace", name, "services"}, "service %q does not exist", service)
			}
		}
	}
}
