package monotonic_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/monotonic"
)

// Guards against restrictions that end, or a choice that repeats for ever, when the time of
// day is set forward.
func TestNanosFollowTheMonotonicClock(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	g.Expect(monotonic.Nanos(now.Add(time.Second)) - monotonic.Nanos(now)).To(Equal(int64(time.Second)))
	g.Expect(monotonic.Millis(now.Add(time.Second)) - monotonic.Millis(now)).To(BeNumerically("~", 1000, 1))
	synthetic := time.UnixMilli(1_000_000)
	g.Expect(monotonic.Nanos(synthetic)).To(Equal(synthetic.UnixNano()), "without a monotonic reading")
}
