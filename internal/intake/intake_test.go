package intake

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/listener"
	"lovagescale/internal/settings"
)

// Guards against terms that together exceed the memory of an instance, and against a limit without
// room for the largest body that the users allow.
func TestSumOfWhatIsHeldFitsIntoTheMemory(t *testing.T) {
	parts := []listener.Part{listener.PartCallers, listener.PartReadiness, listener.PartLookups, listener.PartLink, listener.PartOperator}
	for _, process := range []settings.Process{{}, {MemoryMB: 184, MaxDescriptors: 4100}, {MemoryMB: 284, MaxDescriptors: 4100},
		{MemoryMB: 424, MaxDescriptors: 10250}, {MemoryMB: 536, MaxDescriptors: 8192}} {
		g := NewWithT(t)
		process = process.WithDefaults()
		d := New(process, parts, metrics.NewRegistry(), "", zerolog.Nop()).Describe()
		g.Expect(d.Sum).To(BeNumerically("<=", d.Memory), "%+v", d)
		const largestBody = 64 << 20
		g.Expect(d.Held.Limit - d.Held.Limit/8).To(BeNumerically(">", largestBody+largestBody/16))
		const callers = 2000
		g.Expect(d.Held.Limit/callers).To(BeNumerically(">", 2*listener.ConnBytes), "each of 2,000 callers has as much again as its connection")
		t.Logf("%+v", d)
	}
}
