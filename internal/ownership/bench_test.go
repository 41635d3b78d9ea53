package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// benchTick is the interval at which an entry ticks its ownership.
const benchTick = 20 * time.Millisecond

// BenchmarkOwnership prints what ownership costs an instance of a zone in which
// nothing changes: the bytes that it sends and receives and the time of its
// control loop, by instances and endpoints of the zone.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ instances, endpoints int }{{2, 9}, {16, 40}, {16, 400}} {
		b.Run(fmt.Sprintf("%d_instances/%d_endpoints", size.instances, size.endpoints), func(b *testing.B) {
			z := benchZone(size.instances, size.endpoints)
			z.converge(20)
			bytes, ticks := 0, 0
			for b.Loop() {
				z.now = z.now.Add(benchTick)
				for _, i := range z.instances {
					z.tick(i)
				}
				for len(z.network) > 0 {
					m := z.network[0]
					z.network = z.network[1:]
					b.StopTimer()
					bytes += encodedSize(m)
					b.StartTimer()
					z.deliver(m)
				}
				ticks++
			}
			seconds := float64(ticks) * benchTick.Seconds() * float64(size.instances)
			b.ReportMetric(2*float64(bytes)/seconds, "B/s_an_instance")
			b.ReportMetric(float64(b.Elapsed())/float64(time.Millisecond)/seconds, "ms/s_an_instance")
		})
	}
}

// encodedSize is the encoded size of a message.
func encodedSize(m mail) int {
	var body any = m.answer
	if m.statement != nil {
		body = m.statement
	}
	encoded, _ := msgpack.Marshal(body) // plain data
	return len(encoded)
}

func benchZone(instances, endpoints int) *zone {
	z := &zone{now: time.Unix(1_000_000, 0)}
	bounds := make(map[string]time.Duration)
	for n := range endpoints {
		bounds[fmt.Sprintf("registry 10.1.2.%d:8080", n)] = fuzzBound
	}
	for n := range instances {
		i := &instance{name: fmt.Sprintf("zone-1-%d", n)}
		z.instances = append(z.instances, i)
		z.boot(i)
		i.core.SetEndpoints(z.now, bounds)
	}
	return z
}
