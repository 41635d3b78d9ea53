package command

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/spread"
)

// Explain is "lovagectl explain".
type Explain struct {
	Workspace string `arg:"" help:"Workspace that sends the request."`
	Service   string `arg:"" help:"Service that the request is for."`
	Address   string `arg:"" help:"IP address of the caller."`
	File      string `placeholder:"FILE" help:"Use this configuration text instead of the store's configuration."`
}

// ServiceUnknownError reports a service that the configuration does not list.
type ServiceUnknownError struct{ Service string }

// Error implements the error interface.
func (e *ServiceUnknownError) Error() string {
	return fmt.Sprintf("service %q does not exist in the configuration", e.Service)
}

// AddressError reports a caller's address that is not an IP address.
type AddressError struct{ Address string }

// Error implements the error interface.
func (e *AddressError) Error() string { return fmt.Sprintf("%q is not an IP address", e.Address) }

// explanation is the output of explain.
type explanation struct {
	Revision    uint64  `json:"revision"`
	Permitted   bool    `json:"permitted"`
	Rate        float64 `json:"rate_per_second"`
	Burst       float64 `json:"burst"`
	ClientBlock string  `json:"client_block"`
	Zone        string  `json:"availability_zone"`
	Region      string  `json:"region"`
	// Candidates holds the zones in order of preference.
	Candidates []zoneCandidate `json:"order"`
	// EntriesProblem is the reason why the entry instances are not shown.
	EntriesProblem string `json:"live_problem,omitempty"`
}

// zoneCandidate is a zone that may serve the request. Reason says how near it is to the
// caller.
type zoneCandidate struct {
	Zone      string   `json:"availability_zone"`
	Reason    string   `json:"reason"`
	Endpoints int      `json:"endpoints"`
	Slots     int      `json:"slots"`
	Entries   []string `json:"entries"`
}

// Run explains where a request would go, from the configuration and the states of the
// entry instances.
func (x *Explain) Run(e *Environment) error {
	ctx := context.Background()
	client, err := netip.ParseAddr(x.Address)
	if err != nil {
		return &AddressError{Address: x.Address}
	}
	c, err := x.configuration(ctx, e)
	if err != nil {
		return err
	}
	out, err := x.explain(c, client)
	if err != nil {
		return err
	}
	out.addLiveEntries(ctx, e)
	return e.print(out, "%s", x.describe(out))
}

func (x *Explain) configuration(ctx context.Context, e *Environment) (*configuration.Configuration, error) {
	if x.File == "" {
		_, c, err := loadConfiguration(ctx, e.publisher())
		if err == nil && c == nil {
			return &configuration.Configuration{}, nil
		}
		return c, err
	}
	text, err := readText(x.File)
	if err != nil {
		return nil, err
	}
	return text.Configuration()
}

func (x *Explain) explain(c *configuration.Configuration, client netip.Addr) (*explanation, error) {
	service, known := c.Services[x.Service]
	if !known {
		return nil, &ServiceUnknownError{Service: x.Service}
	}
	workspace, known := c.Workspaces[x.Workspace]
	if !known {
		return nil, &configuration.WorkspaceUnknownError{Workspace: x.Workspace}
	}
	block, zone := findClientBlock(c, client)
	out := &explanation{
		Revision:    c.Revision,
		Permitted:   slices.Contains(workspace.Services, x.Service),
		Rate:        workspace.RatePerSecond,
		Burst:       workspace.Burst,
		ClientBlock: block,
		Zone:        zone,
		Region:      c.RegionOf(zone),
	}
	for rank, reason := range []string{"the caller's availability zone", "same region", "another region"} {
		for _, name := range zoneNames(c) {
			if distance(c, zone, name) == rank {
				count := len(service.Endpoints[name])
				out.Candidates = append(out.Candidates, zoneCandidate{
					Zone: name, Reason: reason, Endpoints: count, Slots: count * service.Slots, Entries: []string{},
				})
			}
		}
	}
	return out, nil
}

func zoneNames(c *configuration.Configuration) []string {
	names := make([]string, 0, len(c.Zones))
	for name := range c.Zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// distance returns 0 for the same zone, 1 for the same region and 2 for another region or if
// the caller's zone is unknown.
func distance(c *configuration.Configuration, from, to string) int {
	switch {
	case from == to:
		return 0
	case from != "" && c.RegionOf(from) == c.RegionOf(to):
		return 1
	default:
		return 2
	}
}

// findClientBlock returns the longest client block that contains the address, and the zone
// of that block. Both are empty if no block contains it.
func findClientBlock(c *configuration.Configuration, client netip.Addr) (block, zone string) {
	longest := -1
	for name := range c.Blocks {
		for _, prefix := range c.ClientBlocks(name) {
			if prefix.Contains(client) && prefix.Bits() > longest {
				longest, block, zone = prefix.Bits(), prefix.String(), name
			}
		}
	}
	return block, zone
}

// addLiveEntries adds the live entry instances that reply to the candidates of their zones.
func (o *explanation) addLiveEntries(ctx context.Context, e *Environment) {
	instances, err := e.instanceList().Instances(ctx)
	if err != nil {
		o.EntriesProblem = err.Error()
		return
	}
	for _, result := range queryInstances[spread.StatusReply](ctx, instances, spread.TypeStatus, struct{}{}) {
		i := slices.IndexFunc(o.Candidates, func(z zoneCandidate) bool { return z.Zone == result.Instance.Zone })
		if i < 0 || result.Err != nil || result.Instance.State != instancelist.Live {
			continue
		}
		o.Candidates[i].Entries = append(o.Candidates[i].Entries, result.Instance.ID)
	}
}

func (x *Explain) describe(o *explanation) string {
	var text strings.Builder
	if !o.Permitted {
		fmt.Fprintf(&text, "refused: workspace %q may not use service %q\n", x.Workspace, x.Service)
	}
	fmt.Fprintf(&text, "workspace %q has a rate of %g/s and a burst of %g\n", x.Workspace, o.Rate, o.Burst)
	if o.Zone == "" {
		fmt.Fprintf(&text, "%s is in no client block: the zone of the lookup server that it queries comes first\n", x.Address)
	} else {
		fmt.Fprintf(&text, "%s is in client block %s of availability zone %s, region %s\n", x.Address, o.ClientBlock, o.Zone, o.Region)
	}
	for i, candidate := range o.Candidates {
		fmt.Fprintf(&text, "%d. availability zone %s (%s): %d endpoints, %d slots", i+1, candidate.Zone, candidate.Reason, candidate.Endpoints, candidate.Slots)
		if o.EntriesProblem == "" {
			fmt.Fprintf(&text, ", entries heard: %s", formatEntries(candidate.Entries))
		}
		text.WriteString("\n")
	}
	if o.EntriesProblem != "" {
		fmt.Fprintf(&text, "entries are not shown: %s\n", o.EntriesProblem)
	}
	return strings.TrimSuffix(text.String(), "\n")
}

func formatEntries(entries []string) string {
	if len(entries) == 0 {
		return "none"
	}
	return strings.Join(entries, ", ")
}

// isUsageError reports whether the error is caused by a value on the command line.
func isUsageError(err error) bool {
	var service *ServiceUnknownError
	var workspace *configuration.WorkspaceUnknownError
	var address *AddressError
	return errors.As(err, &service) || errors.As(err, &workspace) || errors.As(err, &address)
}
