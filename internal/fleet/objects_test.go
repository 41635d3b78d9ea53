package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
)

func objectsOf(count float32) fleet.Activity {
	return fleet.Activity{Objects: []fleet.UpstreamObjects{{Upstream: "files", Region: "south", Objects: count}}}
}

var _ = Describe("Objects in reports", func() {
	// Instances that use different estimates would send requests for an object to different
	// endpoints.
	It("gives every instance the largest estimate, whichever region it comes from", func() {
		key := [2]string{"files", "south"}
		delegate := fleet.New(member("n1", "north"))
		delegate.ApplyReport(start, report(member("n2", "north"), fleet.Ready, objectsOf(120)))
		delegate.ApplyReport(start, report(member("n3", "north"), fleet.Ready, fleet.Activity{})) // an old build
		own := objectsOf(100)
		Expect(delegate.PeerActivity(start).Objects).To(HaveKeyWithValue(key, float32(120)))
		far := fleet.New(member("s1", "south"))
		far.ApplyDigest(start, delegate.LocalDigest(start, own), fleet.Activity{})
		Expect(far.PeerActivity(start).Objects).To(HaveKeyWithValue(key, float32(120)))
		Expect(far.PeerActivity(start.Add(2 * fleet.SilentAfter)).Objects).To(BeEmpty())
	})
})
