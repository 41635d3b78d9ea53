package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/fleet"
	"lovagescale/internal/namedlimit"
)

// earlierActivity is the part of fleet.Activity that tells of limits, as builds before stamps
// write and read it.
type earlierActivity struct {
	Limits []earlierLimit `msgpack:"m,omitempty"`
}

type earlierLimit struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack    struct{} `msgpack:",as_array"`
	Endpoint    string
	StartMillis int64
	PerSecond   float32
}

// Guards against instances of two builds that cannot read each other's reports of limits while a
// fleet is upgraded.
func TestEarlierBuildsReadLimits(t *testing.T) {
	g := NewWithT(t)
	var sent, read fleet.Activity
	sent.AddLimit("a", 7, namedlimit.News{PerSecond: 2, Named: 100})
	sent.AddLimit("b", 7, namedlimit.News{PerSecond: 2, Named: 100, Ended: 101})
	encoded, err := msgpack.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var earlier earlierActivity
	g.Expect(msgpack.Unmarshal(encoded, &earlier)).To(Succeed())
	g.Expect(earlier.Limits).To(Equal([]earlierLimit{{Endpoint: "a", StartMillis: 7, PerSecond: 2}}))

	encoded, err = msgpack.Marshal(earlier)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(msgpack.Unmarshal(encoded, &read)).To(Succeed())
	g.Expect(read.LimitNews).To(BeEmpty(), "its order is not known")
}

// Guards against a digest that loses the later of two statements, or keeps a limit that an
// instance has seen to end.
func TestDigestHoldsTheLatestStatements(t *testing.T) {
	g := NewWithT(t)
	view := fleet.New(member("n1", "north"))
	var first, second, own fleet.Activity
	first.AddLimit("a", 1, namedlimit.News{PerSecond: 5, Named: 10})
	first.AddLimit("b", 1, namedlimit.News{PerSecond: 5, Named: 10})
	second.AddLimit("a", 1, namedlimit.News{PerSecond: 3, Named: 11})
	own.AddLimit("b", 1, namedlimit.News{PerSecond: 5, Named: 10, Ended: 12})
	view.ApplyReport(start, report(member("n2", "north"), fleet.Ready, first))
	view.ApplyReport(start, report(member("n3", "north"), fleet.Ready, second))
	digest := view.LocalDigest(start, own)
	got := make(map[string]namedlimit.News)
	for _, news := range digest.Activity.LimitNews {
		got[news.Endpoint] = news.News()
	}
	g.Expect(got).To(Equal(map[string]namedlimit.News{"a": {PerSecond: 3, Named: 11}, "b": {PerSecond: 5, Named: 10, Ended: 12}}))
}
