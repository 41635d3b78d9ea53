package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
)

func member(instance, zone string, state instancelist.State) membership.Member {
	return membership.Member{Instance: instance, Incarnation: instance + "-1", Zone: zone, State: state}
}

func TestOwnersAreLiveSiblingsOfTheZone(t *testing.T) {
	g := gomega.NewWithT(t)
	router := New("a", "z1", rand.New(rand.NewPCG(1, 1)))
	router.ApplyConfiguration(&configuration.Configuration{Revision: 1, Services: map[string]configuration.Service{
		"files": {Name: "files", Slots: 1, Connections: 1, Endpoints: map[string][]string{
			"z1": {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6", "127.0.0.1:7", "127.0.0.1:8"},
		}},
	}})
	g.Expect(router.Owners("files")).To(gomega.BeEmpty())
	sibling := member("b", "z1", instancelist.Live)
	router.ApplyView(&membership.View{Members: []membership.Member{
		member("a", "z1", instancelist.Live), sibling, member("c", "z1", instancelist.Leaving), member("d", "z2", instancelist.Live),
	}})
	g.Expect(router.Owners("files")).To(gomega.Equal([]membership.Member{sibling}))
	g.Expect(router.Owners("nothing")).To(gomega.BeEmpty())
}
