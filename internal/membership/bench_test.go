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

// BenchmarkMembershipCost reports what an ordinary node and a delegate send and
// receive, and the processor time of all cores for a second of the fleet. One
// instance in the fleet is replaced per 10 s, which is above ten times the rate
// of an ordinary day.
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
	const measured = 30 * time.Second
	b.ResetTimer()
	var seconds float64
	for range b.N {
		for step := time.Duration(0); step < measured; step += 10 * time.Second {
			f.start(f.nodes[f.random.IntN(len(f.nodes))])
			f.run(10 * time.Second)
		}
		seconds += measured.Seconds()
	}
	b.StopTimer()
	report(b, f, bytes, seconds)
}

func report(b *testing.B, f *fleet, bytes map[*node]int, seconds float64) {
	var all, most int
	silent := 0
	for _, n := range f.nodes {
		all += bytes[n]
		most = max(most, bytes[n])
		silent += len(n.core.View().SilentZones)
	}
	nodes := float64(len(f.nodes))
	b.ReportMetric(float64(all)/nodes/seconds, "sent-B/s/node")
	b.ReportMetric(float64(most)/seconds, "sent-B/s/busiest")
	b.ReportMetric(float64(silent), "false-silent-zones")
	b.ReportMetric(b.Elapsed().Seconds()/seconds/nodes*100, "%core/node")
}
