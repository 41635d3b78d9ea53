package edge

import (
	"context"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
)

// Dump is the state dump of an instance for operators.
type Dump struct {
	Instance  fleet.Member                  `json:"instance"`
	State     string                        `json:"state"`
	Era       uint64                        `json:"store_era"`
	Revision  uint64                        `json:"store_revision"`
	Version   uint64                        `json:"configuration_version"`
	Evacuated []string                      `json:"evacuated_zones"`
	Peers     []fleet.Member                `json:"peers"`
	Delegates []fleet.Member                `json:"delegates"`
	Shares    map[string]map[string]float64 `json:"region_shares"`
	// Quotas are this instance's shares of the workspaces' quotas.
	Quotas map[string]float64 `json:"quota_shares"`
	// Follows is set if this instance follows the store itself.
	Follows   bool                    `json:"follows_store"`
	Endpoints []placement.Description `json:"endpoints"`
}

// dump returns the state for the operators' port.
func (e *Edge) dump(ctx context.Context) (any, error) {
	var d Dump
	err := e.loop.Call(ctx, func() {
		now := time.Now()
		d.Instance = e.state.fleet.Self()
		d.State = e.state.fleet.State().String()
		position := e.state.mirror.Position()
		d.Era, d.Revision = position.Era, position.Revision
		d.Evacuated = e.state.registry.Evacuated()
		d.Peers = e.state.fleet.Peers()
		d.Delegates = e.state.fleet.Delegates(now, e.settings.Region)
		for _, endpoint := range e.table.Load().Endpoints() {
			d.Endpoints = append(d.Endpoints, endpoint.Describe(now))
		}
	})
	if c := e.catalog.Load(); c != nil {
		d.Version = c.Version
	}
	d.Shares = e.balancer.Shares()
	d.Quotas = e.pools.pool.Shares()
	d.Follows = !e.reliesOnDelegates(time.Now())
	return d, err
}
