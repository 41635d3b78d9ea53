package lookup

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lovagescale/internal/configuration"
	_ "lovagescale/internal/fuzzseed"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
)

func TestLookup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lookup")
}

// member returns a member whose address is its instance.
func member(instance, zone string, state instancelist.State) membership.Member {
	return membership.Member{Instance: instance, Incarnation: instance + "-1", Zone: zone, Address: instance, State: state}
}

// encodeBlocks returns client blocks in the encoding of configuration.DecodeBlocks.
func encodeBlocks(blocks ...string) []byte {
	var content []byte
	for _, block := range blocks {
		content = configuration.AppendBlock(content, netip.MustParsePrefix(block))
	}
	return content
}

// entryAddresses returns the addresses of the entry instances in an answer.
func entryAddresses(entries []AnswerEntry) []string {
	found := make([]string, len(entries))
	for i, entry := range entries {
		found[i] = entry.Address
	}
	return found
}

var _ = Describe("Core", func() {
	var core *Core
	regions := map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	client := netip.MustParseAddr("10.2.3.4")

	BeforeEach(func() {
		core = NewCore("n1")
		core.HandleCatalogue(Catalogue{Revision: 1, Services: []string{"files"}, Regions: regions})
		Expect(core.HandleBlocks(ZoneBlocks{Revision: 1, Zone: "n2", Digest: "a", Content: encodeBlocks("10.2.0.0/16")})).To(Succeed())
		core.HandleState(time.Unix(1, 0), "l1", State{Revision: 1, Self: member("a", "n1", instancelist.Live), Members: []membership.Member{
			member("a", "n1", instancelist.Live), member("c", "n2", instancelist.Live), member("d", "s1", instancelist.Live),
		}})
		core.HandleState(time.Unix(2, 0), "l2", State{Revision: 1, Self: member("b", "n1", instancelist.Live)})
	})

	It("puts the client's zone first, then its region", func() {
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(entryAddresses(core.Table().Entries(netip.MustParseAddr("192.0.2.1"), 1))).To(Equal([]string{"b", "a", "c", "d"}))
	})

	It("leaves out leaving instances, and disconnected ones while another is connected", func() {
		core.HandleState(time.Unix(3, 0), "l2", State{Revision: 1, Self: member("b", "n1", instancelist.Leaving)})
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "d"}))
		core.HandleStreamEnd("l1")
		Expect(entryAddresses(core.Table().Entries(client, 0))).NotTo(ContainElement("a"))
	})

	It("applies changes of the members and reports whether there were any", func() {
		self := member("a", "n1", instancelist.Live)
		Expect(core.HandleState(time.Unix(3, 0), "l1", State{Revision: 1, Self: self})).To(BeFalse())
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(core.HandleState(time.Unix(4, 0), "l1", State{Revision: 1, Self: self, Removed: []string{"c"},
			Members: []membership.Member{member("e", "n2", instancelist.Live)}})).To(BeTrue())
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"e", "a", "b", "d"}))
		Expect(core.HandleState(time.Unix(5, 0), "l1", State{Revision: 1, Self: self, Full: true})).To(BeTrue())
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"a", "b"}))
	})

	It("keeps the last states when every instance is disconnected", func() {
		core.HandleStreamEnd("l1")
		core.HandleStreamEnd("l2")
		Expect(entryAddresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(core.LastReceivedAt()).To(Equal(time.Unix(2, 0)))
	})

	It("ignores lower revisions and the blocks of zones that a catalogue removed", func() {
		core.HandleCatalogue(Catalogue{Revision: 3, Services: []string{"files"}, Regions: map[string]string{"n1": "north"}})
		Expect(core.Table().ZoneOf(client)).To(Equal("n1"))
		Expect(core.HandleBlocks(ZoneBlocks{Revision: 2, Zone: "n2", Digest: "a", Content: encodeBlocks("10.2.0.0/16")})).To(Succeed())
		Expect(core.Table().ZoneOf(client)).To(Equal("n1"))
		core.HandleCatalogue(Catalogue{Revision: 2, Services: nil, Regions: regions})
		Expect(core.Table().HasService("files")).To(BeTrue())
	})

	It("rejects malformed blocks and keeps its table", func() {
		err := core.HandleBlocks(ZoneBlocks{Revision: 2, Zone: "n2", Digest: "b", Content: []byte{9, 1}})
		Expect(err).To(BeAssignableToTypeOf(&configuration.BlockMalformedError{}))
		Expect(core.Table().ZoneOf(client)).To(Equal("n2"))
	})
})

// TestFuzzBlocks moves blocks between zones and repeats outdated messages, and compares each
// lookup with a linear search in a map of the blocks.
func TestFuzzBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore("z0")
		core.HandleCatalogue(Catalogue{Revision: 1, Regions: map[string]string{"z0": "r", "z1": "r", "z2": "r"}})
		oracle := make(map[netip.Prefix]string)
		revision := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				revision++
				zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
				replaceZoneBlocks(t, core, oracle, zone, revision)
			},
			"old": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
				if core.receivedBlocks[zone].Revision == 0 {
					return
				}
				outdated := ZoneBlocks{Zone: zone, Digest: "old", Content: encodeBlocks("10.0.0.0/8")}
				if err := core.HandleBlocks(outdated); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) { compareWithOracle(t, core.Table(), oracle) },
		})
	})
}

// replaceZoneBlocks replaces the blocks of a zone by random ones that no other zone has.
func replaceZoneBlocks(t *rapid.T, core *Core, oracle map[netip.Prefix]string, zone string, revision uint64) {
	var content []byte
	for prefix, owner := range oracle {
		if owner == zone {
			delete(oracle, prefix)
		}
	}
	for _, octet := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID).Draw(t, "blocks") {
		bits := rapid.IntRange(8, 16).Draw(t, "bits")
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(octet), 0, 0}), bits).Masked()
		if _, taken := oracle[prefix]; taken {
			continue
		}
		oracle[prefix] = zone
		content = configuration.AppendBlock(content, prefix)
	}
	blocks := ZoneBlocks{Revision: revision, Zone: zone, Digest: configuration.Digest(content), Content: content}
	if err := core.HandleBlocks(blocks); err != nil {
		t.Fatal(err)
	}
}

// compareWithOracle requires that the table finds the zone of the longest block for each client.
func compareWithOracle(t *rapid.T, table *Table, oracle map[netip.Prefix]string) {
	for octet := range 8 {
		client := netip.AddrFrom4([4]byte{10, byte(octet), 0, 1})
		want, bits := "z0", -1
		for prefix, zone := range oracle {
			if prefix.Contains(client) && prefix.Bits() > bits {
				want, bits = zone, prefix.Bits()
			}
		}
		if found := table.ZoneOf(client); found != want {
			t.Fatalf("client %s: zone %q, want %q", client, found, want)
		}
	}
}
