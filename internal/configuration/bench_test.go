package configuration

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lovagescale/internal/unit"
)

// plannedText returns a text of the size planned for two years ahead: 48 regions,
// 150 availability zones, 3,000 sites (one for each service and zone) and 610,000
// client blocks.
func plannedText() *Text {
	const regions, zones, services, workspaces, blocks = 48, 150, 20, 200, 610_000
	text := &Text{
		Region:    make(map[string]RegionText),
		Zone:      make(map[string]ZoneText),
		Service:   make(map[string]ServiceText),
		Workspace: make(map[string]WorkspaceText),
	}
	for i := range regions {
		text.Region[fmt.Sprintf("region-%d", i)] = RegionText{LinkBandwidth: 1e8, ShiftCap: 100}
	}
	next := netip.MustParseAddr("16.0.0.0")
	for i := range zones {
		zone := ZoneText{Region: fmt.Sprintf("region-%d", i%regions)}
		for range blocks / zones {
			zone.ClientBlocks = append(zone.ClientBlocks, netip.PrefixFrom(next, 32).String())
			next = next.Next()
		}
		text.Zone[fmt.Sprintf("zone-%d", i)] = zone
	}
	for i := range services {
		text.Service[fmt.Sprintf("service-%d", i)] = plannedService(zones)
	}
	for i := range workspaces {
		text.Workspace[fmt.Sprintf("workspace-%d", i)] = WorkspaceText{Rate: 100, Burst: 200, Services: []string{"service-0"}}
	}
	return text
}

// plannedService returns a service with a site of four endpoints in each zone.
func plannedService(zones int) ServiceText {
	service := ServiceText{
		Slots:       9,
		Connections: 330,
		Timeout:     unit.Duration(time.Second),
		Endpoints:   make(map[string][]string),
		Route:       map[string]RouteText{"read": {Path: "/", Methods: []string{"GET"}, Kind: string(Lookup)}},
	}
	for zone := range zones {
		var addresses []string
		for endpoint := range 4 {
			addresses = append(addresses, fmt.Sprintf("10.%d.%d.%d:8080", zone, endpoint, endpoint))
		}
		service.Endpoints[fmt.Sprintf("zone-%d", zone)] = addresses
	}
	return service
}

// BenchmarkAssemble assembles a revision of the planned size without cached chunks
// ("whole"), and alternates between two revisions that differ in one workspace with
// the chunks of the previous one in the cache ("change").
func BenchmarkAssemble(b *testing.B) {
	text := plannedText()
	manifest, chunks := compilePlanned(b, text, 1)
	b.Run("whole", func(b *testing.B) {
		total := 0
		for _, content := range chunks {
			total += len(content)
		}
		b.ReportMetric(float64(total)/float64(1<<20), "chunk-MiB")
		for b.Loop() {
			assemble(b, new(Assembler), manifest, chunks)
		}
	})
	text.Workspace["workspace-0"] = WorkspaceText{Rate: 200, Burst: 400}
	changed, changedChunks := compilePlanned(b, text, 2)
	b.Run("change", func(b *testing.B) {
		assembler := new(Assembler)
		for b.Loop() {
			assemble(b, assembler, manifest, chunks)
			assemble(b, assembler, changed, changedChunks)
		}
	})
}

func assemble(b *testing.B, assembler *Assembler, manifest Manifest, chunks Chunks) {
	b.Helper()
	if _, err := assembler.Assemble(manifest, chunks); err != nil {
		b.Fatal(err)
	}
}

// compilePlanned returns the manifest and the chunks of a text.
func compilePlanned(b *testing.B, text *Text, revision uint64) (Manifest, Chunks) {
	b.Helper()
	digests, chunks, err := text.Compile()
	if err != nil {
		b.Fatal(err)
	}
	manifest := Manifest{Revision: revision, Chunks: digests}
	encoded, err := encodeChunk(manifest)
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("manifest of revision %d: %d bytes, %d chunks", revision, len(encoded), len(digests))
	return manifest, chunks
}
