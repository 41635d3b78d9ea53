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
	// StoreRevision is the revision in the store, 0 when it cannot be read.
	StoreRevision uint64       `json:"store_revision"`
	StoreProblem  string       `json:"store_problem,omitempty"`
	Zones         []zoneStatus `json:"availability_zones"`
}

type zoneStatus struct {
	Zone string `json:"availability_zone"`
	// Revision is the lowest in force among the instances that were heard.
	Revision  uint64               `json:"revision"`
	Instances []spread.StatusReply `json:"instances"`
	// Unheard names listed instances that did not answer.
	Unheard []string `json:"unheard"`
}

// UnheardError reports instances that did not answer.
type UnheardError struct{ Instances []string }

// Error implements the error interface.
func (e *UnheardError) Error() string {
	return "instances cannot be heard: " + strings.Join(e.Instances, ", ")
}

// Run asks every listed instance what it has in force.
func (s *Status) Run(e *Environment) error {
	ctx := context.Background()
	instances, err := e.list().Instances(ctx)
	if err != nil {
		return err
	}
	out := fleetStatus{Zones: gather(askAll[spread.StatusReply](ctx, instances, spread.TypeStatus, struct{}{}))}
	if current, err := e.publisher().Current(ctx); err == nil {
		out.StoreRevision = current.Manifest.Revision
	} else {
		out.StoreProblem = err.Error()
	}
	if err := e.print(out, "%s", out.describe()); err != nil {
		return err
	}
	var unheard []string
	for _, zone := range out.Zones {
		unheard = append(unheard, zone.Unheard...)
	}
	if len(unheard) > 0 {
		return &UnheardError{Instances: unheard}
	}
	return nil
}

// gather sorts answers by zone.
func gather(answers []answer[spread.StatusReply]) []zoneStatus {
	slices.SortStableFunc(answers, func(a, b answer[spread.StatusReply]) int {
		return strings.Compare(a.Instance.Zone, b.Instance.Zone)
	})
	zones := []zoneStatus{}
	for _, a := range answers {
		if n := len(zones); n == 0 || zones[n-1].Zone != a.Instance.Zone {
			zones = append(zones, zoneStatus{Zone: a.Instance.Zone, Instances: []spread.StatusReply{}, Unheard: []string{}})
		}
		zones[len(zones)-1].add(a)
	}
	return zones
}

func (z *zoneStatus) add(a answer[spread.StatusReply]) {
	if a.Err != nil {
		z.Unheard = append(z.Unheard, nameOf(a.Instance))
		return
	}
	if len(z.Instances) == 0 || a.Reply.Revision < z.Revision {
		z.Revision = a.Reply.Revision
	}
	z.Instances = append(z.Instances, a.Reply)
}

func nameOf(instance instancelist.Instance) string {
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
			fmt.Fprintf(&text, "  %s revision %d%s\n", instance.Instance, instance.Revision, notes(instance))
		}
		for _, name := range zone.Unheard {
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

// staleAge is the age above which status mentions it.
const staleAge = 30 * time.Second

func notes(s spread.StatusReply) string {
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
