package membership

import (
	"fmt"
	"testing"
	"time"

	"lovagescale/internal/wire"
)

// benchInstancesPerZone is the number of instances per zone. With 150 zones it comes
// close to the planned fleet of 2,300 nodes.
const benchInstancesPerZone = 16

// envelopeBytes is the size of a frame's length field and version byte and of the
// array marker of its envelope.
const envelopeBytes = 6

// frameBytes returns the size of a message on a link.
func frameBytes(b *testing.B, message Message) int {
	envelope, err := wire.Encode(TypeExchange, 1<<20, message)
	if err != nil {
		b.Fatal(err)
	}
	const identifierBytes = 5
	return envelopeBytes + len(envelope.Type) + 1 + identifierBytes + len(envelope.Body) + 3
}

// BenchmarkMembershipCost reports the bytes that a node sends on average and that the
// busiest node sends while nothing changes, the additional bytes that the whole fleet
// sends when one instance is replaced, the zones that are wrongly considered silent,
// and the processor time of a core.
func BenchmarkMembershipCost(b *testing.B) {
	for _, zones := range []int{1, 6, 25, 50, 150} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) { benchmarkCost(b, zones) })
	}
}

func benchmarkCost(b *testing.B, zones int) {
	f := newFleet(zones, benchInstancesPerZone, Options{})
	f.advance(time.Minute)
	f.publishList()
	sentBytes := make(map[*node]int)
	f.onSend = func(from *node, message Message) { sentBytes[from] += frameBytes(b, message) }
	const measured = 20 * time.Second
	nodes, seconds := float64(len(f.nodes)), measured.Seconds()
	for b.Loop() {
		clear(sentBytes)
		started := time.Now()
		f.advance(measured)
		elapsed := time.Since(started).Seconds()
		steady, busiest := totalAndMax(sentBytes)
		clear(sentBytes)
		f.startIncarnation(f.nodes[f.random.IntN(len(f.nodes))])
		f.advance(measured)
		afterReplacement, _ := totalAndMax(sentBytes)
		b.ReportMetric(float64(steady)/nodes/seconds, "sent-B/s/node")
		b.ReportMetric(float64(busiest)/seconds, "sent-B/s/busiest")
		b.ReportMetric(float64(afterReplacement-steady)/1024, "KiB/replacement")
		b.ReportMetric(float64(countSilentZones(f)), "false-silent-zones")
		b.ReportMetric(elapsed/seconds/nodes*100, "%core/node")
	}
}

// totalAndMax returns the sum of the bytes that all nodes sent and the bytes of the
// node that sent most.
func totalAndMax(sentBytes map[*node]int) (total, highest int) {
	for _, sent := range sentBytes {
		total += sent
		highest = max(highest, sent)
	}
	return total, highest
}

func countSilentZones(f *fleet) int {
	silent := 0
	for _, n := range f.nodes {
		silent += len(n.core.View().SilentZones)
	}
	return silent
}
