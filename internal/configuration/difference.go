package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Verb is the kind of a difference.
type Verb string

// The verbs.
const (
	Starts  Verb = "starts"
	Stops   Verb = "stops"
	Moves   Verb = "moves"
	Changes Verb = "changes"
)

// Item is one difference between two configurations.
type Item struct {
	Verb Verb `json:"verb"`
	// Subject is what differs, such as "workspace \"azul\"".
	Subject string `json:"subject"`
	// Detail tells how, and is empty when the verb says it all.
	Detail string `json:"detail,omitempty"`
}

// String returns the item in words.
func (i Item) String() string {
	if i.Detail == "" {
		return i.Subject + " " + string(i.Verb)
	}
	return i.Subject + " " + string(i.Verb) + ": " + i.Detail
}

// Difference is what a change does.
type Difference struct {
	Items    []Item   `json:"items"`
	Warnings []string `json:"warnings"`
}

// maxNamed bounds the client blocks that an item names.
const maxNamed = 4

// Compare tells what happens when after takes the place of before, which may
// be nil.
func Compare(before, after *Configuration) Difference {
	if before == nil {
		before = &Configuration{}
	}
	c := &comparison{before: before, after: after}
	c.out.Items = []Item{}
	c.out.Warnings = []string{}
	c.regions()
	c.zones()
	c.services()
	c.workspaces()
	c.dependencies()
	return c.out
}

// Configuration compiles a text to what would be in force without keys.
func (t *Text) Configuration() (*Configuration, error) {
	names, chunks, err := t.Compile()
	if err != nil {
		return nil, err
	}
	return Assemble(Manifest{Chunks: names}, chunks)
}

type comparison struct {
	before, after *Configuration
	out           Difference
}

func (c *comparison) item(verb Verb, subject, format string, arguments ...any) {
	c.out.Items = append(c.out.Items, Item{Verb: verb, Subject: subject, Detail: fmt.Sprintf(format, arguments...)})
}

func (c *comparison) warn(format string, arguments ...any) {
	c.out.Warnings = append(c.out.Warnings, fmt.Sprintf(format, arguments...))
}

// each calls the function that fits each name of two tables.
func each[V any](before, after map[string]V, starts, stops func(string, V), both func(string, V, V)) {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		b, had := before[name]
		a, has := after[name]
		switch {
		case !had:
			starts(name, a)
		case !has:
			stops(name, b)
		default:
			both(name, b, a)
		}
	}
}

// value reports a changed value with its unit.
func (c *comparison) value(subject, name string, before, after any) {
	if before != after {
		c.item(Changes, subject, "%s from %v to %v", name, before, after)
	}
}

func (c *comparison) regions() {
	each(c.before.Regions, c.after.Regions,
		func(name string, _ Region) { c.item(Starts, quote("region", name), "") },
		func(name string, _ Region) { c.item(Stops, quote("region", name), "") },
		func(name string, b, a Region) {
			subject := quote("region", name)
			c.value(subject, "link bandwidth", bytesRate(b.LinkBytesPerSecond), bytesRate(a.LinkBytesPerSecond))
			c.value(subject, "shift cap", rate(b.ShiftCapPerSecond), rate(a.ShiftCapPerSecond))
		})
}

func (c *comparison) zones() {
	each(c.before.Zones, c.after.Zones,
		func(name string, z Zone) { c.item(Starts, quote("availability zone", name), "in region %q", z.Region) },
		func(name string, _ Zone) { c.item(Stops, quote("availability zone", name), "") },
		func(name string, b, a Zone) {
			if b.Region != a.Region {
				c.item(Moves, quote("availability zone", name), "from region %q to %q", b.Region, a.Region)
			}
		})
	before, after := blockOwners(c.before), blockOwners(c.after)
	moved := make(map[string][]string)
	note := func(text, block string) { moved[text] = append(moved[text], block) }
	each(before, after,
		func(block, zone string) { note(fmt.Sprintf("starts\x00in availability zone %q", zone), block) },
		func(block, zone string) { note(fmt.Sprintf("stops\x00in availability zone %q", zone), block) },
		func(block, b, a string) {
			if b != a {
				note(fmt.Sprintf("moves\x00from availability zone %q to %q", b, a), block)
			}
		})
	for _, text := range slices.Sorted(maps.Keys(moved)) {
		verb, detail, _ := strings.Cut(text, "\x00")
		c.item(Verb(verb), nameSome("client block", moved[text]), "%s", detail)
	}
}

func blockOwners(c *Configuration) map[string]string {
	owners := make(map[string]string)
	for zone := range c.Blocks {
		for _, block := range c.ClientBlocks(zone) {
			owners[block.String()] = zone
		}
	}
	return owners
}

func nameSome(kind string, names []string) string {
	if len(names) > maxNamed {
		return fmt.Sprintf("%d %ss (%s, ...)", len(names), kind, strings.Join(names[:maxNamed], ", "))
	}
	return kind + " " + strings.Join(names, ", ")
}

func (c *comparison) services() {
	each(c.before.Services, c.after.Services,
		func(name string, s Service) {
			c.item(Starts, quote("service", name), "%d endpoints with %d slots each", countEndpoints(s), s.Slots)
		},
		func(name string, s Service) {
			c.item(Stops, quote("service", name), "%d endpoints are not used any more", countEndpoints(s))
		},
		c.service)
}

func (c *comparison) service(name string, b, a Service) {
	subject := quote("service", name)
	c.value(subject, "slots of an endpoint", b.Slots, a.Slots)
	c.value(subject, "connections of an endpoint", b.Connections, a.Connections)
	c.value(subject, "timeout", b.Timeout, a.Timeout)
	c.value(subject, "dependencies", list(b.DependsOn), list(a.DependsOn))
	each(endpointZones(b), endpointZones(a),
		func(address, zone string) {
			c.item(Starts, quote("endpoint", address), "for service %q in availability zone %q", name, zone)
		},
		func(address, zone string) {
			c.item(Stops, quote("endpoint", address), "for service %q in availability zone %q", name, zone)
		},
		func(address, was, is string) {
			if was != is {
				c.item(Moves, quote("endpoint", address), "for service %q from availability zone %q to %q", name, was, is)
			}
		})
	each(routesByName(b), routesByName(a),
		func(route string, r Route) { c.item(Starts, quote("route", name+"."+route), "%s", r.describe()) },
		func(route string, _ Route) { c.item(Stops, quote("route", name+"."+route), "") },
		func(route string, was, is Route) {
			if was.describe() != is.describe() {
				c.item(Changes, quote("route", name+"."+route), "from %s to %s", was.describe(), is.describe())
			}
		})
}

func (r Route) describe() string {
	text := fmt.Sprintf("%s %s %s", r.Kind, strings.Join(r.Methods, ","), r.Path)
	if r.Open {
		text += " open to all"
	}
	return text
}

func routesByName(s Service) map[string]Route {
	routes := make(map[string]Route, len(s.Routes))
	for _, route := range s.Routes {
		routes[route.Name] = route
	}
	return routes
}

func endpointZones(s Service) map[string]string {
	zones := make(map[string]string)
	for zone, addresses := range s.Endpoints {
		for _, address := range addresses {
			zones[address] = zone
		}
	}
	return zones
}

func countEndpoints(s Service) int { return len(endpointZones(s)) }

func (c *comparison) workspaces() {
	each(c.before.Workspaces, c.after.Workspaces,
		func(name string, w Workspace) {
			c.item(Starts, quote("workspace", name), "%s with a burst of %v for services %s",
				rate(w.RatePerSecond), w.Burst, list(w.Services))
		},
		func(name string, _ Workspace) {
			c.item(Stops, quote("workspace", name), "its requests are refused")
			c.warn("the keys of workspace %q stay and would work again if it came back; withdraw those that must not", name)
		},
		func(name string, b, a Workspace) {
			subject := quote("workspace", name)
			c.value(subject, "rate", rate(b.RatePerSecond), rate(a.RatePerSecond))
			c.value(subject, "burst", b.Burst, a.Burst)
			c.value(subject, "services", list(b.Services), list(a.Services))
			c.value(subject, "isolation", isolationText(b.Isolation), isolationText(a.Isolation))
		})
}

// dependencies warns of services and dependencies without an endpoint.
func (c *comparison) dependencies() {
	for _, name := range sortedKeys(c.after.Services) {
		service := c.after.Services[name]
		if countEndpoints(service) == 0 {
			c.warn("service %q would have no endpoint", name)
		}
		for _, dependency := range service.DependsOn {
			c.dependency(service, c.after.Services[dependency])
		}
	}
}

// dependency warns where a service would run without its dependency near.
func (c *comparison) dependency(service, dependency Service) {
	if countEndpoints(service) == 0 {
		return
	}
	if countEndpoints(dependency) == 0 {
		c.warn("service %q depends on service %q, which would be left without capacity", service.Name, dependency.Name)
		return
	}
	had := slotsByRegion(c.before, c.before.Services[dependency.Name])
	has := slotsByRegion(c.after, dependency)
	for _, region := range sortedKeys(slotsByRegion(c.after, service)) {
		if has[region] == 0 && had[region] > 0 {
			c.warn("service %q depends on service %q, which would be left without capacity in region %q",
				service.Name, dependency.Name, region)
		}
	}
}

func slotsByRegion(c *Configuration, s Service) map[string]int {
	slots := make(map[string]int)
	for zone, addresses := range s.Endpoints {
		if len(addresses) > 0 {
			slots[c.RegionOf(zone)] += s.Slots * len(addresses)
		}
	}
	return slots
}

func quote(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func rate(perSecond float64) string {
	if perSecond == 0 {
		return "unbounded"
	}
	return fmt.Sprintf("%g/s", perSecond)
}

func bytesRate(perSecond float64) string {
	if perSecond == 0 {
		return "unbounded"
	}
	const bitsPerMegabyte = 8e-6
	return fmt.Sprintf("%gMbit/s", perSecond*bitsPerMegabyte)
}

func list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(slices.Values(names)), ", ")
}

func isolationText(d time.Duration) string {
	if d == 0 {
		return "the entries' setting"
	}
	return d.String()
}
