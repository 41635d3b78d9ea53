package configuration

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/tomlfile"
)

// checker validates a text and records the problems in document.
type checker struct {
	text     *Text
	document *tomlfile.Document
	// endpointOwners maps the address of an endpoint to a description of the
	// zone and service that list it.
	endpointOwners map[string]string
}

// Limits on the values of a text.
const (
	maxNameBytes = 64
	// minIsolation exceeds the age that the configuration of a connected entry
	// instance reaches between two reads of the store. A shorter isolation would
	// make such an instance refuse the workspace.
	minIsolation = 30 * time.Second
)

// validName matches names that need no escaping in a URL path or a chunk name.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func (c *checker) checkNames() {
	for kind, names := range map[string][]string{
		"region":    sortedKeys(c.text.Region),
		"zone":      sortedKeys(c.text.Zone),
		"service":   sortedKeys(c.text.Service),
		"workspace": sortedKeys(c.text.Workspace),
	} {
		for _, name := range names {
			if !validName.MatchString(name) || len(name) > maxNameBytes {
				c.document.Addf([]string{kind, name}, "name %q is not 1 to %d letters, digits, dots, underscores or hyphens", name, maxNameBytes)
			}
		}
	}
}

// checkRegions reports regions without a zone, because no traffic could reach
// them.
func (c *checker) checkRegions() {
	hasZone := make(map[string]bool)
	for _, zone := range c.text.Zone {
		hasZone[zone.Region] = true
	}
	for _, name := range sortedKeys(c.text.Region) {
		if !hasZone[name] {
			c.document.Addf([]string{"region", name}, "region %q has no availability zone", name)
		}
	}
}

func (c *checker) checkZones() {
	if len(c.text.Zone) == 0 {
		c.document.Add("configuration has no availability zone", "zone")
	}
	zoneByBlock := make(map[netip.Prefix]string)
	for _, name := range sortedKeys(c.text.Zone) {
		zone := c.text.Zone[name]
		if _, known := c.text.Region[zone.Region]; !known {
			c.document.Addf([]string{"zone", name, "region"}, "region %q does not exist", zone.Region)
		}
		for _, block := range zone.ClientBlocks {
			c.checkClientBlock(name, block, zoneByBlock)
		}
	}
}

func (c *checker) checkClientBlock(zone, block string, zoneByBlock map[netip.Prefix]string) {
	keyPath := []string{"zone", zone, "client_blocks"}
	prefix, err := netip.ParsePrefix(block)
	if err != nil || prefix != prefix.Masked() {
		c.document.Addf(keyPath, "%q is not a client block (example: \"10.1.0.0/16\")", block)
		return
	}
	if other, taken := zoneByBlock[prefix]; taken {
		c.document.Addf(keyPath, "client block %q already belongs to zone %q", block, other)
		return
	}
	zoneByBlock[prefix] = zone
}

func (c *checker) checkServices() {
	for _, name := range sortedKeys(c.text.Service) {
		service := c.text.Service[name]
		c.checkServiceLimits(name, service)
		c.checkDependencies(name, service)
		c.checkEndpoints(name, service)
		c.checkRoutes(name, service)
	}
	c.checkCycles()
}

func (c *checker) checkServiceLimits(name string, service ServiceText) {
	if name == "v1" {
		c.document.Addf([]string{"service", name}, "service name %q is reserved", name)
	}
	if service.Slots < 1 {
		c.document.Add("must be at least 1", "service", name, "slots")
	}
	if service.Connections < service.Slots {
		c.document.Addf([]string{"service", name, "connections"}, "must be at least slots (%d)", service.Slots)
	}
	if service.Timeout <= 0 {
		c.document.Add("must be above 0", "service", name, "timeout")
	}
}

func (c *checker) checkDependencies(name string, service ServiceText) {
	for i, dependency := range service.DependsOn {
		if slices.Contains(service.DependsOn[:i], dependency) {
			c.document.Addf([]string{"service", name, "depends_on"}, "service %q is named twice", dependency)
		}
		if _, known := c.text.Service[dependency]; !known {
			c.document.Addf([]string{"service", name, "depends_on"}, "service %q does not exist", dependency)
		}
	}
}

func (c *checker) checkEndpoints(name string, service ServiceText) {
	for _, zone := range sortedKeys(service.Endpoints) {
		keyPath := []string{"service", name, "endpoints", zone}
		if _, known := c.text.Zone[zone]; !known {
			c.document.Addf(keyPath, "availability zone %q does not exist", zone)
		}
		for _, address := range service.Endpoints[zone] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				c.document.Addf(keyPath, "%q is not an address (example: \"10.1.2.3:8080\")", address)
			}
			if other, taken := c.endpointOwners[address]; taken {
				c.document.Addf(keyPath, "endpoint %q already belongs to %s", address, other)
			}
			c.endpointOwners[address] = fmt.Sprintf("zone %q of service %q", zone, name)
		}
	}
}

func (c *checker) checkRoutes(name string, service ServiceText) {
	if len(service.Route) == 0 {
		c.document.Addf([]string{"service", name}, "service %q has no route", name)
	}
	routeByMethodAndPath := make(map[string]string)
	for _, routeName := range sortedKeys(service.Route) {
		route := service.Route[routeName]
		keyPath := []string{"service", name, "route", routeName}
		if !strings.HasPrefix(route.Path, "/") || path.Clean(route.Path) != route.Path {
			c.document.Addf(append(keyPath, "path"), "%q is not a clean absolute path", route.Path)
		}
		if len(route.Methods) == 0 {
			c.document.Add("must name at least one method", append(keyPath, "methods")...)
		}
		for _, method := range route.Methods {
			if method == "" || strings.ToUpper(method) != method {
				c.document.Addf(append(keyPath, "methods"), "%q is not a method in capital letters", method)
			}
			if other, taken := routeByMethodAndPath[method+" "+route.Path]; taken {
				c.document.Addf(append(keyPath, "path"), "%s %s already belongs to route %q", method, route.Path, other)
			}
			routeByMethodAndPath[method+" "+route.Path] = routeName
		}
		if route.Kind != string(Lookup) && route.Kind != string(Action) {
			c.document.Addf(append(keyPath, "kind"), "%q is neither %q nor %q", route.Kind, Lookup, Action)
		}
		if route.Open && route.Kind == string(Action) {
			c.document.Add("an action cannot be open to all, it must be traceable to a workspace", append(keyPath, "open")...)
		}
	}
}

// checkCycles reports each service that depends on itself, directly or through
// other services.
func (c *checker) checkCycles() {
	for _, name := range sortedKeys(c.text.Service) {
		if c.reaches(name, name, make(map[string]bool)) {
			c.document.Addf([]string{"service", name, "depends_on"}, "service %q depends on itself", name)
		}
	}
}

// reaches reports whether a chain of dependencies leads from one service to the
// target. It records the services that it visits in visited and skips those that
// are already there.
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

func (c *checker) checkWorkspaces() {
	for _, name := range sortedKeys(c.text.Workspace) {
		workspace := c.text.Workspace[name]
		if workspace.Rate <= 0 {
			c.document.Add("must be above 0", "workspace", name, "rate")
		}
		if workspace.Burst < 1 {
			c.document.Add("must be at least 1", "workspace", name, "burst")
		}
		if workspace.Isolation != 0 && workspace.Isolation.Std() < minIsolation {
			c.document.Addf([]string{"workspace", name, "isolation"}, "must be 0 (the entries' setting) or at least %s", minIsolation)
		}
		for _, service := range workspace.Services {
			if _, known := c.text.Service[service]; !known {
				c.document.Addf([]string{"workspace", name, "services"}, "service %q does not exist", service)
			}
		}
	}
}
