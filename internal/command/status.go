package command

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/instancelist"
	"lovagescale/internal/spread"
)

// Status is "lovagectl status".
type Status struct{}

// fleetStatus is the output of status.
type fleetStatus struct {
	// StoreRevision is the revision in the store, or 0 if the store cannot be read.
	StoreRevision uint64       `json:"store_revision"`
	StoreProblem  string       `json:"store_problem,omitempty"`
	Zones         []zoneStatus `json:"availability_zones"`
}

type zoneStatus struct {
	Zone string `json:"availability_zone"`
	// Revision is the lowest active revision among the instances that replied.
	Revision  uint64               `json:"revision"`
	Instances []spread.StatusReply `json:"instances"`
	// Unreachable names the listed instances that did not reply.
	Unreachable []string `json:"unheard"`
}

// UnheardError reports listed instances that did not reply.
type UnheardError struct{ Instances []string }

// Error implements the error interface.
func (e *UnheardError) Error() string {
	return "instances cannot be heard: " + strings.Join(e.Instances, ", ")
}

// Run queries the active revision of every listed instance.
func (s *Status) Run(e *Environment) error {
	ctx := context.Background()
	instances, err := e.instanceList().Instances(ctx)
	if err != nil {
		return err
	}
	out := fleetStatus{Zones: groupByZone(queryInstances[spread.StatusReply](ctx, instances, spread.TypeStatus, struct{}{}))}
	if current, err := e.publisher().Current(ctx); err == nil {
		out.StoreRevision = current.Manifest.Revision
	} else {
		out.StoreProblem = err.Error()
	}
	if err := e.print(out, "%s", out.describe()); err != nil {
		return err
	}
	var unreachable []string
	for _, zone := range out.Zones {
		unreachable = append(unreachable, zone.Unreachable...)
	}
	if len(unreachable) > 0 {
		return &UnheardError{Instances: unreachable}
	}
	return nil
}

// groupByZone sorts the results by zone and returns the status of each zone.
func groupByZone(results []queryResult[spread.StatusReply]) []zoneStatus {
	slices.SortStableFunc(results, func(a, b queryResult[spread.StatusReply]) int {
		return strings.Compare(a.Instance.Zone, b.Instance.Zone)
	})
	zones := []zoneStatus{}
	for _, result := range results {
		if n := len(zones); n == 0 || zones[n-1].Zone != result.Instance.Zone {
			zones = append(zones, zoneStatus{Zone: result.Instance.Zone, Instances: []spread.StatusReply{}, Unreachable: []string{}})
		}
		zones[len(zones)-1].add(result)
	}
	return zones
}

func (z *zoneStatus) add(result queryResult[spread.StatusReply]) {
	if result.Err != nil {
		z.Unreachable = append(z.Unreachable, displayName(result.Instance))
		return
	}
	if len(z.Instances) == 0 || result.Reply.Revision < z.Revision {
		z.Revision = result.Reply.Revision
	}
	z.Instances = append(z.Instances, result.Reply)
}

func displayName(instance instancelist.Instance) string {
	if instance.State == instancelist.Leaving {
		return instance.ID + " (leaving)"
	}
	return instance.ID
}

func (s fleetStatus) describe() string {
	var text strings.Builder
	if s.StoreProblem != "" {
		fmt.Fprintf(&text, "store cannot be read: %s\n", s.StoreProblem)
	} else {
		fmt.Fprintf(&text, "store has revision %d\n", s.StoreRevision)
	}
	for _, zone := range s.Zones {
		fmt.Fprintf(&text, "availability zone %s: %s\n", zone.Zone, zone.describe())
		for _, instance := range zone.Instances {
			fmt.Fprintf(&text, "  %s revision %d%s\n", instance.Instance, instance.Revision, formatNotes(instance))
		}
		for _, name := range zone.Unreachable {
			fmt.Fprintf(&text, "  %s cannot be heard\n", name)
		}
	}
	return strings.TrimSuffix(text.String(), "\n")
}

func (z zoneStatus) describe() string {
	switch {
	case len(z.Instances) == 0:
		return "cannot be heard"
	case z.Revision == 0:
		return "no revision in force"
	default:
		return fmt.Sprintf("revision %d in force", z.Revision)
	}
}

// staleAge is the age of an instance's information above which status shows it.
const staleAge = 30 * time.Second

func formatNotes(s spread.StatusReply) string {
	text := ""
	if s.Watching {
		text += ", watches the store"
	}
	if age := time.Duration(s.AgeMillis) * time.Millisecond; age > staleAge {
		text += fmt.Sprintf(", informed %s ago", age.Round(time.Second))
	}
	if len(s.Isolated) > 0 {
		text += ", refuses for isolation: " + strings.Join(s.Isolated, ", ")
	}
	return text
}
