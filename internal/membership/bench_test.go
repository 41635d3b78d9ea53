package membership

import (
	"fmt"
	"testing"
	"time"

	"lovagescale/internal/wire"
)

// benchPerZone is the number of instances of a zone: 2,300 nodes in 150 zones.
const benchPerZone = 16

// envelopeBytes is the length field and the version byte of a frame and the
// array marker of its envelope.
const envelopeBytes = 6

// frameBytes is the size of a message on a link.
func frameBytes(b *testing.B, message Message) int {
	envelope, err := wire.Encode(TypeExchange, 1<<20, message)
	if err != nil {
		b.Fatal(err)
	}
	const identifierBytes = 5
	return envelopeBytes + len(envelope.Type) + 1 + identifierBytes + len(envelope.Body) + 3
}

// BenchmarkMembershipCost reports what a node sends on average and what the
// busiest one sends while nothing changes, what the whole fleet sends more for
// the replacement of one instance, and the processor time of a core.
func BenchmarkMembershipCost(b *testing.B) {
	for _, zones := range []int{1, 6, 25, 50, 150} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) { benchmarkCost(b, zones) })
	}
}

func benchmarkCost(b *testing.B, zones int) {
	f := newFleet(zones, benchPerZone, Options{})
	f.run(time.Minute)
	f.list()
	bytes := make(map[*node]int)
	f.sent = func(from *node, message Message) { bytes[from] += frameBytes(b, message) }
	const measured = 20 * time.Second
	nodes, seconds := float64(len(f.nodes)), measured.Seconds()
	for b.Loop() {
		clear(bytes)
		started := time.Now()
		f.run(measured)
		took := time.Since(started).Seconds()
		steady, most := sums(bytes)
		clear(bytes)
		f.start(f.nodes[f.random.IntN(len(f.nodes))])
		f.run(measured)
		changed, _ := sums(bytes)
		b.ReportMetric(float64(steady)/nodes/seconds, "sent-B/s/node")
		b.ReportMetric(float64(most)/seconds, "sent-B/s/busiest")
		b.ReportMetric(float64(changed-steady)/1024, "KiB/replacement")
		b.ReportMetric(float64(silentZones(f)), "false-silent-zones")
		b.ReportMetric(took/seconds/nodes*100, "%core/node")
	}
}

func sums(bytes map[*node]int) (all, most int) {
	for _, sent := range bytes {
		all += sent
		most = max(most, sent)
	}
	return all, most
}

func silentZones(f *fleet) int {
	silent := 0
	for _, n := range f.nodes {
		silent += len(n.core.View().SilentZones)
	}
	return silent
}
