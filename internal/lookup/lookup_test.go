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
	RunSpecs(t, "look-up")
}

func member(instance, zone string, state instancelist.State) membership.Member {
	return membership.Member{Instance: instance, Incarnation: instance + "-1", Zone: zone, Address: instance, State: state}
}

func encode(blocks ...string) []byte {
	var content []byte
	for _, block := range blocks {
		content = configuration.AppendBlock(content, netip.MustParsePrefix(block))
	}
	return content
}

func addresses(entries []AnswerEntry) []string {
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
		core.ReceiveCatalogue(Catalogue{Revision: 1, Services: []string{"files"}, Regions: regions})
		Expect(core.ReceiveBlocks(ZoneBlocks{Revision: 1, Zone: "n2", Digest: "a", Content: encode("10.2.0.0/16")})).To(Succeed())
		core.ReceiveState(time.Unix(1, 0), "l1", State{Revision: 1, Self: member("a", "n1", instancelist.Live), Members: []membership.Member{
			member("a", "n1", instancelist.Live), member("c", "n2", instancelist.Live), member("d", "s1", instancelist.Live),
		}})
		core.ReceiveState(time.Unix(2, 0), "l2", State{Revision: 1, Self: member("b", "n1", instancelist.Live)})
	})

	It("puts the client's zone first, then its region", func() {
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(addresses(core.Table().Entries(netip.MustParseAddr("192.0.2.1"), 1))).To(Equal([]string{"b", "a", "c", "d"}))
	})

	It("leaves out leaving entries and entries that are silent while another is heard", func() {
		core.ReceiveState(time.Unix(3, 0), "l2", State{Revision: 1, Self: member("b", "n1", instancelist.Leaving)})
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "d"}))
		core.Silent("l1")
		Expect(addresses(core.Table().Entries(client, 0))).NotTo(ContainElement("a"))
	})

	It("takes what changed of the members and says whether anything did", func() {
		self := member("a", "n1", instancelist.Live)
		Expect(core.ReceiveState(time.Unix(3, 0), "l1", State{Revision: 1, Self: self})).To(BeFalse())
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(core.ReceiveState(time.Unix(4, 0), "l1", State{Revision: 1, Self: self, Gone: []string{"c"},
			Members: []membership.Member{member("e", "n2", instancelist.Live)}})).To(BeTrue())
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"e", "a", "b", "d"}))
		Expect(core.ReceiveState(time.Unix(5, 0), "l1", State{Revision: 1, Self: self, Whole: true})).To(BeTrue())
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"a", "b"}))
	})

	It("keeps the last states when every entry is silent", func() {
		core.Silent("l1")
		core.Silent("l2")
		Expect(addresses(core.Table().Entries(client, 0))).To(Equal([]string{"c", "a", "b", "d"}))
		Expect(core.HeardAt()).To(Equal(time.Unix(2, 0)))
	})

	It("ignores lower revisions and blocks of zones that a catalogue dropped", func() {
		core.ReceiveCatalogue(Catalogue{Revision: 3, Services: []string{"files"}, Regions: map[string]string{"n1": "north"}})
		Expect(core.Table().ZoneOf(client)).To(Equal("n1"))
		Expect(core.ReceiveBlocks(ZoneBlocks{Revision: 2, Zone: "n2", Digest: "a", Content: encode("10.2.0.0/16")})).To(Succeed())
		Expect(core.Table().ZoneOf(client)).To(Equal("n1"))
		core.ReceiveCatalogue(Catalogue{Revision: 2, Services: nil, Regions: regions})
		Expect(core.Table().HasService("files")).To(BeTrue())
	})

	It("refuses malformed blocks and keeps its table", func() {
		err := core.ReceiveBlocks(ZoneBlocks{Revision: 2, Zone: "n2", Digest: "b", Content: []byte{9, 1}})
		Expect(err).To(BeAssignableToTypeOf(&configuration.BlockMalformedError{}))
		Expect(core.Table().ZoneOf(client)).To(Equal("n2"))
	})
})

// TestFuzzBlocks moves blocks between zones in any order of messages and
// compares every look-up with a plain list.
func TestFuzzBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore("z0")
		core.ReceiveCatalogue(Catalogue{Revision: 1, Regions: map[string]string{"z0": "r", "z1": "r", "z2": "r"}})
		oracle := make(map[netip.Prefix]string)
		revision := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				revision++
				zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
				changeZone(t, core, oracle, zone, revision)
			},
			"old": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
				if core.encoded[zone].Revision == 0 {
					return
				}
				late := ZoneBlocks{Zone: zone, Digest: "old", Content: encode("10.0.0.0/8")}
				if err := core.ReceiveBlocks(late); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) { compare(t, core.Table(), oracle) },
		})
	})
}

// changeZone gives the zone new blocks among those that no other zone has.
func changeZone(t *rapid.T, core *Core, oracle map[netip.Prefix]string, zone string, revision uint64) {
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
	if err := core.ReceiveBlocks(blocks); err != nil {
		t.Fatal(err)
	}
}

func compare(t *rapid.T, table *Table, oracle map[netip.Prefix]string) {
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
