package admission

import (
	"cmp"
	"slices"
	"time"
)

// Description is the state of an upstream's shares for operators, in slots of all instances.
type Description struct {
	Upstream string `json:"upstream"`
	// Scarce is set if slots are scarce, so that shares count until Until.
	Scarce  bool      `json:"scarce"`
	Until   time.Time `json:"until"`
	Used    float64   `json:"used_slots"`
	Demand  float64   `json:"demand_slots"`
	Refused float64   `json:"refused_slots"`
	// Limited are the workspaces that ask for more than they would get by their share.
	Limited []LimitedWorkspace `json:"limited"`
}

// LimitedWorkspace is a workspace with its demand and share for requests of one class.
type LimitedWorkspace struct {
	Workspace string  `json:"workspace"`
	Class     int     `json:"class"`
	Demand    float64 `json:"demand_slots"`
	Share     float64 `json:"share_slots"`
	// Within is the fraction of its requests that is within the share.
	Within float64 `json:"within"`
}

// Describe returns the state of all upstreams, ordered by name.
func (g *Gate) Describe() []Description {
	var all []Description
	for name, u := range *g.upstreams.Load() {
		all = append(all, u.describe(name))
	}
	slices.SortFunc(all, func(a, b Description) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

func (u *upstreamGate) describe(name string) Description {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := Description{Upstream: name, Scarce: u.division.scarce, Until: u.division.until, Used: u.division.capacity,
		Demand: u.division.demand, Refused: u.division.refused}
	u.flows.Load().each(func(key flowKey, c *flow) {
		if q := c.currentQuota(); q.limited && q.fraction < 1 {
			d.Limited = append(d.Limited, LimitedWorkspace{Workspace: key.workspace, Class: key.class, Demand: q.demand, Share: q.share, Within: q.fraction})
		}
	})
	slices.SortFunc(d.Limited, func(a, b LimitedWorkspace) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return d
}
