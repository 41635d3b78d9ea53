package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// benchTick is the interval at which an entry instance calls Core.Tick.
const benchTick = 20 * time.Millisecond

// BenchmarkOwnership reports the cost of ownership for an instance of a zone in which
// nothing changes: the bytes that it sends and receives and the time of its control
// loop, by the number of instances and endpoints in the zone.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ instances, endpoints int }{{2, 9}, {16, 40}, {16, 400}} {
		b.Run(fmt.Sprintf("%d_instances/%d_endpoints", size.instances, size.endpoints), func(b *testing.B) {
			z := newBenchZone(size.instances, size.endpoints)
			z.converge(20)
			bytes, ticks := 0, 0
			for b.Loop() {
				z.now = z.now.Add(benchTick)
				for _, i := range z.instances {
					z.tick(i)
				}
				for len(z.network) > 0 {
					p := z.network[0]
					z.network = z.network[1:]
					b.StopTimer()
					bytes += encodedSize(p)
					b.StartTimer()
					z.deliver(p)
				}
				ticks++
			}
			seconds := float64(ticks) * benchTick.Seconds() * float64(size.instances)
			b.ReportMetric(2*float64(bytes)/seconds, "B/s_an_instance")
			b.ReportMetric(float64(b.Elapsed())/float64(time.Millisecond)/seconds, "ms/s_an_instance")
		})
	}
}

// encodedSize returns the encoded size of the statement or reply in a packet.
func encodedSize(p packet) int {
	var body any = p.reply
	if p.statement != nil {
		body = p.statement
	}
	encoded, _ := msgpack.Marshal(body) // cannot fail: the types are plain structs
	return len(encoded)
}

func newBenchZone(instances, endpoints int) *zone {
	z := &zone{now: time.Unix(1_000_000, 0)}
	requestTimeouts := make(map[string]time.Duration)
	for n := range endpoints {
		requestTimeouts[fmt.Sprintf("registry 10.1.2.%d:8080", n)] = fuzzRequestTimeout
	}
	for n := range instances {
		i := &instance{name: fmt.Sprintf("zone-1-%d", n)}
		z.instances = append(z.instances, i)
		z.start(i)
		i.core.SetEndpoints(z.now, requestTimeouts)
	}
	return z
}
