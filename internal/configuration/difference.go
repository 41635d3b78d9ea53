package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Verb states how the subject of an Item differs.
type Verb string

const (
	// Starts marks a subject that only the new configuration has.
	Starts Verb = "starts"
	// Stops marks a subject that only the old configuration has.
	Stops Verb = "stops"
	// Moves marks a subject that belongs to another region or zone.
	Moves Verb = "moves"
	// Changes marks a subject with a changed value.
	Changes Verb = "changes"
)

// Item is one difference between two configurations.
type Item struct {
	Verb Verb `json:"verb"`
	// Subject is what differs, such as "workspace \"azul\"".
	Subject string `json:"subject"`
	// Detail describes the difference; it is empty when the verb suffices.
	Detail string `json:"detail,omitempty"`
}

// String returns the item as a phrase, such as "region \"north\" starts".
func (i Item) String() string {
	if i.Detail == "" {
		return i.Subject + " " + string(i.Verb)
	}
	return i.Subject + " " + string(i.Verb) + ": " + i.Detail
}

// Difference describes the effect of replacing one configuration by another.
type Difference struct {
	Items    []Item   `json:"items"`
	Warnings []string `json:"warnings"`
}

// maxListedNames limits the client blocks that an item lists by name.
const maxListedNames = 4

// Compare describes the effect of replacing before by after. before may be nil.
func Compare(before, after *Configuration) Difference {
	if before == nil {
		before = &Configuration{}
	}
	c := &comparison{before: before, after: after}
	c.difference.Items = []Item{}
	c.difference.Warnings = []string{}
	c.compareRegions()
	c.compareZones()
	c.compareServices()
	c.compareWorkspaces()
	c.checkCapacity()
	return c.difference
}

// Configuration compiles a text to the configuration that it would give. The
// result has no workspace keys, because a text does not contain them.
func (t *Text) Configuration() (*Configuration, error) {
	digests, chunks, err := t.Compile()
	if err != nil {
		return nil, err
	}
	return Assemble(Manifest{Chunks: digests}, chunks)
}

// comparison collects the differences between two configurations.
type comparison struct {
	before, after *Configuration
	difference    Difference
}

func (c *comparison) addItem(verb Verb, subject, format string, arguments ...any) {
	c.difference.Items = append(c.difference.Items, Item{Verb: verb, Subject: subject, Detail: fmt.Sprintf(format, arguments...)})
}

func (c *comparison) addWarning(format string, arguments ...any) {
	c.difference.Warnings = append(c.difference.Warnings, fmt.Sprintf(format, arguments...))
}

// compareMaps calls one function for each name of the two maps, in the order of
// the names: onAdded if only after has it, onRemoved if only before has it, and
// onCommon with both values otherwise.
func compareMaps[V any](before, after map[string]V, onAdded, onRemoved func(string, V), onCommon func(string, V, V)) {
	names := slices.Collect(maps.Keys(before))
	names = slices.AppendSeq(names, maps.Keys(after))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		valueBefore, inBefore := before[name]
		valueAfter, inAfter := after[name]
		switch {
		case !inBefore:
			onAdded(name, valueAfter)
		case !inAfter:
			onRemoved(name, valueBefore)
		default:
			onCommon(name, valueBefore, valueAfter)
		}
	}
}

// compareValue adds an item if the named value has changed.
func (c *comparison) compareValue(subject, name string, before, after any) {
	if before != after {
		c.addItem(Changes, subject, "%s from %v to %v", name, before, after)
	}
}

func (c *comparison) compareRegions() {
	compareMaps(c.before.Regions, c.after.Regions,
		func(name string, _ Region) { c.addItem(Starts, quoteName("region", name), "") },
		func(name string, _ Region) { c.addItem(Stops, quoteName("region", name), "") },
		func(name string, from, to Region) {
			subject := quoteName("region", name)
			c.compareValue(subject, "link bandwidth", formatBandwidth(from.LinkBytesPerSecond), formatBandwidth(to.LinkBytesPerSecond))
			c.compareValue(subject, "shift cap", formatRate(from.ShiftCapPerSecond), formatRate(to.ShiftCapPerSecond))
		})
}

func (c *comparison) compareZones() {
	compareMaps(c.before.Zones, c.after.Zones,
		func(name string, z Zone) {
			c.addItem(Starts, quoteName("availability zone", name), "in region %q", z.Region)
		},
		func(name string, _ Zone) { c.addItem(Stops, quoteName("availability zone", name), "") },
		func(name string, from, to Zone) {
			if from.Region != to.Region {
				c.addItem(Moves, quoteName("availability zone", name), "from region %q to %q", from.Region, to.Region)
			}
		})
	before, after := zonesByBlock(c.before), zonesByBlock(c.after)
	// The keys are the verb and the detail of an item, separated by a zero byte.
	blocksByChange := make(map[string][]string)
	addBlock := func(change, block string) { blocksByChange[change] = append(blocksByChange[change], block) }
	compareMaps(before, after,
		func(block, zone string) { addBlock(fmt.Sprintf("starts\x00in availability zone %q", zone), block) },
		func(block, zone string) { addBlock(fmt.Sprintf("stops\x00in availability zone %q", zone), block) },
		func(block, from, to string) {
			if from != to {
				addBlock(fmt.Sprintf("moves\x00from availability zone %q to %q", from, to), block)
			}
		})
	for _, change := range slices.Sorted(maps.Keys(blocksByChange)) {
		verb, detail, _ := strings.Cut(change, "\x00")
		c.addItem(Verb(verb), listNames("client block", blocksByChange[change]), "%s", detail)
	}
}

// zonesByBlock maps the client blocks of a configuration to their zones.
func zonesByBlock(c *Configuration) map[string]string {
	zones := make(map[string]string)
	for zone := range c.Blocks {
		for _, block := range c.ClientBlocks(zone) {
			zones[block.String()] = zone
		}
	}
	return zones
}

// listNames returns the names after their kind. It gives the number and the first
// names only when there are more than maxListedNames.
func listNames(kind string, names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%d %ss (%s, ...)", len(names), kind, strings.Join(names[:maxListedNames], ", "))
	}
	return kind + " " + strings.Join(names, ", ")
}

func (c *comparison) compareServices() {
	compareMaps(c.before.Services, c.after.Services,
		func(name string, s Service) {
			c.addItem(Starts, quoteName("service", name), "%d endpoints with %d slots each", countEndpoints(s), s.Slots)
		},
		func(name string, s Service) {
			c.addItem(Stops, quoteName("service", name), "%d endpoints are not used any more", countEndpoints(s))
		},
		c.compareService)
}

func (c *comparison) compareService(name string, before, after Service) {
	subject := quoteName("service", name)
	c.compareValue(subject, "slots of an endpoint", before.Slots, after.Slots)
	c.compareValue(subject, "connections of an endpoint", before.Connections, after.Connections)
	c.compareValue(subject, "timeout", before.Timeout, after.Timeout)
	c.compareValue(subject, "dependencies", formatList(before.DependsOn), formatList(after.DependsOn))
	compareMaps(zonesByEndpoint(before), zonesByEndpoint(after),
		func(address, zone string) {
			c.addItem(Starts, quoteName("endpoint", address), "for service %q in availability zone %q", name, zone)
		},
		func(address, zone string) {
			c.addItem(Stops, quoteName("endpoint", address), "for service %q in availability zone %q", name, zone)
		},
		func(address, from, to string) {
			if from != to {
				c.addItem(Moves, quoteName("endpoint", address), "for service %q from availability zone %q to %q", name, from, to)
			}
		})
	compareMaps(routesByName(before), routesByName(after),
		func(route string, r Route) { c.addItem(Starts, quoteName("route", name+"."+route), "%s", r.describe()) },
		func(route string, _ Route) { c.addItem(Stops, quoteName("route", name+"."+route), "") },
		func(route string, from, to Route) {
			if from.describe() != to.describe() {
				c.addItem(Changes, quoteName("route", name+"."+route), "from %s to %s", from.describe(), to.describe())
			}
		})
}

// describe returns the properties of a route in one line.
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

// zonesByEndpoint maps the addresses of a service's endpoints to their zones.
func zonesByEndpoint(s Service) map[string]string {
	zones := make(map[string]string)
	for zone, addresses := range s.Endpoints {
		for _, address := range addresses {
			zones[address] = zone
		}
	}
	return zones
}

func countEndpoints(s Service) int { return len(zonesByEndpoint(s)) }

func (c *comparison) compareWorkspaces() {
	compareMaps(c.before.Workspaces, c.after.Workspaces,
		func(name string, w Workspace) {
			c.addItem(Starts, quoteName("workspace", name), "%s with a burst of %v for services %s",
				formatRate(w.RatePerSecond), w.Burst, formatList(w.Services))
		},
		func(name string, _ Workspace) {
			c.addItem(Stops, quoteName("workspace", name), "its requests are refused")
			c.addWarning("the keys of workspace %q stay and would work again if it came back; withdraw those that must not", name)
		},
		func(name string, from, to Workspace) {
			subject := quoteName("workspace", name)
			c.compareValue(subject, "rate", formatRate(from.RatePerSecond), formatRate(to.RatePerSecond))
			c.compareValue(subject, "burst", from.Burst, to.Burst)
			c.compareValue(subject, "services", formatList(from.Services), formatList(to.Services))
			c.compareValue(subject, "isolation", formatIsolation(from.Isolation), formatIsolation(to.Isolation))
		})
}

// checkCapacity warns about services and dependencies that would have no
// endpoint.
func (c *comparison) checkCapacity() {
	for _, name := range sortedKeys(c.after.Services) {
		service := c.after.Services[name]
		if countEndpoints(service) == 0 {
			c.addWarning("service %q would have no endpoint", name)
		}
		for _, dependency := range service.DependsOn {
			c.checkDependencyCapacity(service, c.after.Services[dependency])
		}
	}
}

// checkDependencyCapacity warns if the dependency would have no endpoint at all, or
// if it would lose its last one in a region where the service runs.
func (c *comparison) checkDependencyCapacity(service, dependency Service) {
	if countEndpoints(service) == 0 {
		return
	}
	if countEndpoints(dependency) == 0 {
		c.addWarning("service %q depends on service %q, which would be left without capacity", service.Name, dependency.Name)
		return
	}
	slotsBefore := slotsByRegion(c.before, c.before.Services[dependency.Name])
	slotsAfter := slotsByRegion(c.after, dependency)
	for _, region := range sortedKeys(slotsByRegion(c.after, service)) {
		if slotsAfter[region] == 0 && slotsBefore[region] > 0 {
			c.addWarning("service %q depends on service %q, which would be left without capacity in region %q",
				service.Name, dependency.Name, region)
		}
	}
}

// slotsByRegion returns the slots that the endpoints of a service have in each
// region.
func slotsByRegion(c *Configuration, s Service) map[string]int {
	slots := make(map[string]int)
	for zone, addresses := range s.Endpoints {
		if len(addresses) > 0 {
			slots[c.RegionOf(zone)] += s.Slots * len(addresses)
		}
	}
	return slots
}

func quoteName(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

// formatRate formats a rate in which 0 means no limit.
func formatRate(perSecond float64) string {
	if perSecond == 0 {
		return "unbounded"
	}
	return fmt.Sprintf("%g/s", perSecond)
}

// formatBandwidth formats a rate in bytes per second in which 0 means no limit.
func formatBandwidth(bytesPerSecond float64) string {
	if bytesPerSecond == 0 {
		return "unbounded"
	}
	const megabitsPerByte = 8e-6
	return fmt.Sprintf("%gMbit/s", bytesPerSecond*megabitsPerByte)
}

func formatList(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(slices.Values(names)), ", ")
}

// formatIsolation formats an isolation time; 0 stands for the default in the
// settings of the entry instances.
func formatIsolation(d time.Duration) string {
	if d == 0 {
		return "the entries' setting"
	}
	return d.String()
}
