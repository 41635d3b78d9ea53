package configuration

import (
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// Text is the decoded TOML text in which operators write the configuration.
type Text struct {
	Region    map[string]RegionText    `toml:"region"`
	Zone      map[string]ZoneText      `toml:"zone"`
	Service   map[string]ServiceText   `toml:"service"`
	Workspace map[string]WorkspaceText `toml:"workspace"`
}

// RegionText is a [region.NAME] table.
type RegionText struct {
	// LinkBandwidth is the bandwidth of the link into the region.
	LinkBandwidth unit.ByteRate `toml:"link_bandwidth"`
	// ShiftCap limits how fast the traffic shifted into the region may grow, in
	// requests per second gained per second.
	ShiftCap unit.Rate `toml:"shift_cap"`
}

// ZoneText is a [zone.NAME] table.
type ZoneText struct {
	Region       string   `toml:"region"`
	ClientBlocks []string `toml:"client_blocks"`
}

// ServiceText is a [service.NAME] table.
type ServiceText struct {
	DependsOn []string `toml:"depends_on"`
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int `toml:"slots"`
	// Connections limits the connections to one endpoint from all instances
	// together.
	Connections int                  `toml:"connections"`
	Timeout     unit.Duration        `toml:"timeout"`
	Endpoints   map[string][]string  `toml:"endpoints"`
	Route       map[string]RouteText `toml:"route"`
}

// RouteText is a [service.NAME.route.NAME] table.
type RouteText struct {
	Path    string   `toml:"path"`
	Methods []string `toml:"methods"`
	Kind    string   `toml:"kind"`
	// Open admits callers without a workspace key.
	Open bool `toml:"open"`
}

// WorkspaceText is a [workspace.NAME] table.
type WorkspaceText struct {
	Rate     unit.Rate `toml:"rate"`
	Burst    float64   `toml:"burst"`
	Services []string  `toml:"services"`
	// Isolation is how long an instance keeps serving the workspace while it
	// reaches neither the store nor a peer with recent contact to the store. 0
	// selects the setting of the entry instances.
	Isolation unit.Duration `toml:"isolation"`
}

// Parse decodes and checks a text. name is used in error messages only. It returns
// tomlfile.Problems with all problems found.
func Parse(name string, data []byte) (*Text, error) {
	var text Text
	document, err := tomlfile.DecodeAll(name, data, &text)
	if err != nil {
		return nil, err
	}
	checker := &checker{text: &text, document: document, endpointOwners: make(map[string]string)}
	checker.checkNames()
	checker.checkRegions()
	checker.checkZones()
	checker.checkServices()
	checker.checkWorkspaces()
	if err := document.Err(); err != nil {
		return nil, err
	}
	return &text, nil
}
