package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lovagescale/internal/admission"
	"lovagescale/internal/bodymemory"
	"lovagescale/internal/fleet"
	"lovagescale/internal/hedge"
	"lovagescale/internal/intake"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/placement"
	"lovagescale/internal/retryafter"
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
	Follows bool `json:"follows_store"`
	// Unreachable is set if this instance reaches no endpoint.
	Unreachable bool                    `json:"reaches_no_endpoint"`
	Endpoints   []placement.Description `json:"endpoints"`
	// Objects are the numbers of objects and of their preferred endpoints.
	Objects []placement.ObjectsDescription `json:"objects"`
	// Returns are the times promised to refused callers.
	Returns retryafter.Description `json:"returns"`
	// Traffic is what this instance has sent to others and got as replies since its start.
	Traffic []PeerTraffic `json:"peer_traffic"`
	// Admission is how scarce slots are shared.
	Admission []admission.Description `json:"admission"`
	// Hedges are the times by which most runs of the routes end.
	Hedges []hedge.Description `json:"hedges"`
	// Pipelines are the callers' connections with requests that were started early.
	Pipelines []pipeline.Description `json:"pipelines"`
	// Memory is what this instance holds for callers.
	Memory bodymemory.Description `json:"memory"`
	// Intake is what clients can make the instance hold at most.
	Intake intake.Description `json:"intake"`
}

// PeerTraffic is the traffic of one message type with the peers beyond one border.
type PeerTraffic struct {
	Type          string `json:"type"`
	Border        string `json:"border"`
	Calls         int64  `json:"calls"`
	SentBytes     int64  `json:"sent_bytes"`
	ReceivedBytes int64  `json:"received_bytes"`
}

// Borders between this instance and a peer.
const (
	borderNone    = "none" // same availability zone
	borderZone    = "zone" // same region
	borderRegion  = "region"
	borderUnknown = "unknown" // seeds and peers that are gone
)

// peerTraffic returns the traffic with other instances, ordered by type and border.
func (e *Edge) peerTraffic(peers []fleet.Member) []PeerTraffic {
	borders := make(map[string]string, len(peers))
	for _, peer := range peers {
		borders[peer.Link] = e.borderTo(peer)
	}
	var traffic []PeerTraffic
	for key, t := range e.peers.Traffic(func(peer string) string { return cmp.Or(borders[peer], borderUnknown) }) {
		traffic = append(traffic, PeerTraffic{Type: key.Type, Border: key.Group, Calls: t.Calls, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes})
	}
	slices.SortFunc(traffic, func(a, b PeerTraffic) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Border, b.Border))
	})
	return traffic
}

func (e *Edge) borderTo(peer fleet.Member) string {
	switch {
	case peer.Region != e.settings.Region:
		return borderRegion
	case peer.Zone != e.settings.Zone:
		return borderZone
	}
	return borderNone
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
		d.Objects = e.objects.Describe()
		d.Delegates = e.state.fleet.Delegates(now, e.settings.Region)
		for _, endpoint := range e.table.Load().Endpoints() {
			d.Endpoints = append(d.Endpoints, endpoint.Describe(now))
		}
	})
	d.Traffic = e.peerTraffic(d.Peers)
	d.Pipelines = e.pipelines.Load().Describe(time.Now())
	if c := e.catalog.Load(); c != nil {
		d.Version = c.Version
	}
	d.Shares = e.balancer.Shares()
	d.Quotas = e.pools.Shares()
	d.Admission = e.sharing.gate.Describe()
	d.Hedges = e.hedging.policy.Describe()
	d.Returns = e.retrySchedule.Describe(time.Now())
	d.Memory = e.memory.Describe()
	d.Intake = e.intake.Describe()
	d.Follows = !e.reliesOnDelegates(time.Now())
	return d, err
}
