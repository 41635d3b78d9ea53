package fleet_test

import (
	"time"

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

var _ = Describe("Speeds in reports", func() {
	speedOf := func(endpoint string, percent, age uint16) fleet.Activity {
		return fleet.Activity{Speeds: []fleet.EndpointSpeed{{Endpoint: fleet.KeyOf(endpoint), Percent: percent, AgeMillis: age}}}
	}

	It("keep their age through a digest, the latest of several counts and an old one is dropped", func() {
		delegate := fleet.New(member("n1", "north"))
		delegate.ApplyReport(start, report(member("n2", "north"), fleet.Ready, speedOf("e", 250, 100)))
		delegate.ApplyReport(start, report(member("n3", "north"), fleet.Ready, speedOf("e", 300, 50)))
		later := start.Add(200 * time.Millisecond)
		Expect(delegate.LocalDigest(later, fleet.Activity{}).Activity.Speeds).To(Equal(speedOf("e", 300, 250).Speeds))
		Expect(delegate.LocalDigest(start.Add(time.Second), speedOf("e", 400, 500)).Activity.Speeds).To(Equal(speedOf("e", 400, 500).Speeds))
	})

	It("are sent to the members that use the region", func() {
		delegate := fleet.New(member("n1", "north"))
		delegate.ApplyDigest(start, fleet.Digest{Region: "south", Members: []fleet.Status{{Member: member("s1", "south")}}, Activity: speedOf("e", 250, 0)}, fleet.Activity{})
		for _, used := range [][]string{nil, {"south"}} {
			asking := report(member("n2", "north"), fleet.Ready, fleet.Activity{})
			asking.UsedRegions = used
			for _, digest := range delegate.DigestsForMember(start, fleet.Activity{}, asking) {
				if digest.Region == "south" {
					Expect(digest.Activity.Speeds).To(HaveLen(len(used)))
				}
			}
		}
	})
})
