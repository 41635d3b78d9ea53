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

// checker adds the faults of a text to its file.
type checker struct {
	text *Text
	file *tomlfile.Text
	// owners maps an endpoint to the service and zone that have it.
	owners map[string]string
}

// Bounds of the text.
const (
	maxNameBytes = 64
	// minIsolation is above the age that a connected entry's configuration
	// reaches between two looks at the store.
	minIsolation = 30 * time.Second
)

// validName limits names to what fits a URL path and a chunk's name.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func (c *checker) names() {
	for kind, names := range map[string][]string{
		"region":    sortedKeys(c.text.Region),
		"zone":      sortedKeys(c.text.Zone),
		"service":   sortedKeys(c.text.Service),
		"workspace": sortedKeys(c.text.Workspace),
	} {
		for _, name := range names {
			if !validName.MatchString(name) || len(name) > maxNameBytes {
				c.file.Addf([]string{kind, name}, "name %q is not 1 to %d letters, digits, dots, underscores or hyphens", name, maxNameBytes)
			}
		}
	}
}

// regions reports regions without a zone, which no traffic could reach.
func (c *checker) regions() {
	used := make(map[string]bool)
	for _, zone := range c.text.Zone {
		used[zone.Region] = true
	}
	for _, name := range sortedKeys(c.text.Region) {
		if !used[name] {
			c.file.Addf([]string{"region", name}, "region %q has no availability zone", name)
		}
	}
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
	if name == "v1" {
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
	for i, dependency := range service.DependsOn {
		if slices.Contains(service.DependsOn[:i], dependency) {
			c.file.Addf([]string{"service", name, "depends_on"}, "service %q is named twice", dependency)
		}
		if _, known := c.text.Service[dependency]; !known {
			c.file.Addf([]string{"service", name, "depends_on"}, "service %q does not exist", dependency)
		}
	}
}

func (c *checker) endpoints(name string, service ServiceText) {
	for _, zone := range sortedKeys(service.Endpoints) {
		at := []string{"service", name, "endpoints", zone}
		if _, known := c.text.Zone[zone]; !known {
			c.file.Addf(at, "availability zone %q does not exist", zone)
		}
		for _, address := range service.Endpoints[zone] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				c.file.Addf(at, "%q is not an address (example: \"10.1.2.3:8080\")", address)
			}
			if other, taken := c.owners[address]; taken {
				c.file.Addf(at, "endpoint %q already stands in %s", address, other)
			}
			c.owners[address] = fmt.Sprintf("zone %q of service %q", zone, name)
		}
	}
}

func (c *checker) routes(name string, service ServiceText) {
	if len(service.Route) == 0 {
		c.file.Addf([]string{"service", name}, "service %q has no route", name)
	}
	served := make(map[string]string)
	for _, routeName := range sortedKeys(service.Route) {
		route := service.Route[routeName]
		at := []string{"service", name, "route", routeName}
		if !strings.HasPrefix(route.Path, "/") || path.Clean(route.Path) != route.Path {
			c.file.Addf(append(at, "path"), "%q is not a clean absolute path", route.Path)
		}
		if len(route.Methods) == 0 {
			c.file.Add("must name at least one method", append(at, "methods")...)
		}
		for _, method := range route.Methods {
			if method == "" || strings.ToUpper(method) != method {
				c.file.Addf(append(at, "methods"), "%q is not a method in capital letters", method)
			}
			if other, taken := served[method+" "+route.Path]; taken {
				c.file.Addf(append(at, "path"), "%s %s already belongs to route %q", method, route.Path, other)
			}
			served[method+" "+route.Path] = routeName
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
		if workspace.Isolation != 0 && workspace.Isolation.Std() < minIsolation {
			c.file.Addf([]string{"workspace", name, "isolation"}, "must be 0 (the entries' setting) or at least %s", minIsolation)
		}
		for _, service := range workspace.Services {
			if _, known := c.text.Service[service]; !known {
				c.file.Addf([]string{"workspace", name, "services"}, "service %q does not exist", service)
			}
		}
	}
}
