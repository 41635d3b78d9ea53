package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A second attempt at an endpoint without a free slot ends after the first one, and one in a
// busy region takes a slot from other requests.
func TestSecondAttemptsUseFreeSlotsOnly(t *testing.T) {
	g := NewWithT(t)
	table := registryOf(4).Table()
	r := request(17)
	r.Preferred, r.MaxUtilization = 2, 2
	first, err := table.Choose(start, r)
	g.Expect(err).NotTo(HaveOccurred())
	r.Tried = append(r.Tried, first)
	other := table.ChooseSecond(start, r)
	g.Expect(other).NotTo(BeNil())
	g.Expect(other).NotTo(BeIdenticalTo(first))
	g.Expect(table.ChooseSecond(start, r)).To(BeIdenticalTo(other), "the other preferred endpoint")
	g.Expect(table.ChooseSecond(start, r)).To(BeIdenticalTo(other))
	g.Expect(table.ChooseSecond(start, r)).To(BeNil(), "three of its four slots are taken")

	r.Preferred, r.AffinityKey, r.Tried = 1, 0, nil
	for _, e := range table.Endpoints() {
		if e != other {
			for range 40 { // until the moving average has followed
				e.SetOthersInFlight(4)
			}
		}
	}
	g.Expect(table.ChooseSecond(start, r)).To(BeNil(), "slots of the region are scarce")
}
