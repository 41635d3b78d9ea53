package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/store"
	"lovagescale/internal/store/storetest"
	"lovagescale/internal/workspacekey"
)

var ctx = context.Background()

func parsed(old, replacement string) *Text {
	text, err := Parse("estate.toml", []byte(strings.Replace(valid, old, replacement, 1)))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return text
}

func publisher(s store.Client, change string) *Publisher {
	return &Publisher{Store: s, Author: "ana", ChangeID: change}
}

func current(s store.Client) Published {
	published, err := publisher(s, "").Current(ctx)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return published
}

func grant(s store.Client, seed byte) (string, workspacekey.Record) {
	random := strings.NewReader(strings.Repeat(string(seed), 100))
	key, record, err := workspacekey.Generate(random, "azul")
	Expect(err).NotTo(HaveOccurred())
	_, err = publisher(s, "grant "+key).GrantKey(ctx, record, []byte(key))
	Expect(err).NotTo(HaveOccurred())
	return key, record
}

func inForce(s store.Client) *Configuration {
	c, err := publisher(s, "").Load(ctx, current(s))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("publishing", func() {
	var s *storetest.Store

	BeforeEach(func() {
		s = storetest.New()
		Expect(publisher(s, "first").Apply(ctx, Published{}, parsed("", ""))).To(BeEquivalentTo(1))
	})

	It("says applied when the reply was lost", func() {
		base := current(s)
		s.BeforeKey, s.Before = ManifestKey, func() { s.Lose = 1 }
		Expect(publisher(s, "second").Apply(ctx, base, parsed("burst = 20", "burst = 30"))).To(BeEquivalentTo(2))
		Expect(inForce(s).Workspaces["azul"].Burst).To(Equal(30.0))
	})

	It("says applied when the reply was lost and another change followed", func() {
		manifest := current(s).Manifest.Successor(Change{Revision: 2, ChangeID: "mine"}, nil)
		manifest = manifest.Successor(Change{Revision: 3, ChangeID: "other"}, nil)
		revision, err := publisher(s, "mine").judge(current(s), Published{Manifest: manifest}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeEquivalentTo(2))
	})

	It("says not applied when the write was lost, and keeps it from arriving late", func() {
		base := current(s)
		s.BeforeKey, s.Before = ManifestKey, func() { s.Drop = 1 }
		_, err := publisher(s, "second").Apply(ctx, base, parsed("burst = 20", "burst = 30"))
		Expect(err).To(BeAssignableToTypeOf(&NotAppliedError{}))
		s.DeliverDropped()
		Expect(inForce(s).Workspaces["azul"].Burst).To(Equal(20.0))
	})

	It("names the change that came first and leaves it in force", func() {
		base := current(s)
		s.BeforeKey, s.Before = ManifestKey, func() {
			Expect(publisher(s, "other").Apply(ctx, base, parsed("burst = 20", "burst = 40"))).To(BeEquivalentTo(2))
		}
		_, err := publisher(s, "mine").Apply(ctx, base, parsed("burst = 20", "burst = 30"))
		Expect(err).To(Equal(&SupersededError{Revision: 2, Author: "ana", ChangeID: "other"}))
		Expect(inForce(s).Workspaces["azul"].Burst).To(Equal(40.0))
	})

	It("says not applied while the store is out", func() {
		base := current(s)
		s.Down = true
		_, err := publisher(s, "second").Apply(ctx, base, parsed("burst = 20", "burst = 30"))
		Expect(err).To(BeAssignableToTypeOf(&NotAppliedError{}))
	})

	It("grants a key on top of a racing change of the text", func() {
		s.BeforeKey, s.Before = ManifestKey, func() {
			Expect(publisher(s, "other").Apply(ctx, current(s), parsed("burst = 20", "burst = 40"))).To(BeEquivalentTo(2))
		}
		key, record := grant(s, 'a')
		c := inForce(s)
		Expect(c.Revision).To(BeEquivalentTo(3))
		Expect(c.Workspaces["azul"].Burst).To(Equal(40.0))
		Expect(c.Keys[record.Identifier].Verify(key)).To(Equal(workspacekey.Valid))
	})

	It("keeps a withdrawal through a new grant and through the workspace's removal", func() {
		key, record := grant(s, 'a')
		_, err := publisher(s, "withdraw").WithdrawKey(ctx, "azul", record.Identifier)
		Expect(err).NotTo(HaveOccurred())
		grant(s, 'b')
		verde := parsed("[workspace.azul]", "[workspace.verde]")
		_, err = publisher(s, "without").Apply(ctx, current(s), verde)
		Expect(err).NotTo(HaveOccurred())
		_, err = publisher(s, "again").Apply(ctx, current(s), parsed("", ""))
		Expect(err).NotTo(HaveOccurred())
		c := inForce(s)
		Expect(c.Keys[record.Identifier].Verify(key)).To(Equal(workspacekey.Withdrawn))
		Expect(c.Keys).To(HaveLen(2))
	})

	It("keeps the newest tombstones only", func() {
		var records []workspacekey.Record
		for i := range MaxTombstones + 5 {
			records = append(records, workspacekey.Record{Identifier: fmt.Sprint(i), Digest: []byte{1}})
		}
		for i := range MaxTombstones + 3 {
			var err error
			records, err = withdraw(records, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(records).To(HaveLen(MaxTombstones + 2))
		Expect(records[0].Identifier).To(Equal(fmt.Sprint(MaxTombstones + 3)))
		Expect(records[2]).To(Equal(workspacekey.Record{Identifier: "3", Withdrawn: true}))
	})

	It("refuses a key for a workspace that does not exist", func() {
		_, err := publisher(s, "grant").GrantKey(ctx, workspacekey.Record{Identifier: "x", Workspace: "rojo"}, nil)
		Expect(err).To(Equal(&WorkspaceUnknownError{Workspace: "rojo"}))
	})

	It("moves one small chunk when one of many client blocks changes", func() {
		blocks := func(extra string) *Text {
			text := parsed("", "")
			zone := text.Zone["n1"]
			for i := range 4067 {
				zone.ClientBlocks = append(zone.ClientBlocks, fmt.Sprintf("10.%d.%d.0/24", 2+i/256, i%256))
			}
			zone.ClientBlocks = append(zone.ClientBlocks, extra)
			text.Zone["n1"] = zone
			return text
		}
		before, _, err := blocks("11.0.0.0/24").Compile()
		Expect(err).NotTo(HaveOccurred())
		after, chunks, err := blocks("11.0.1.0/24").Compile()
		Expect(err).NotTo(HaveOccurred())
		moved := 0
		for name, digest := range after {
			if before[name] != digest {
				moved += len(chunks[digest])
			}
		}
		Expect(moved).To(And(BeNumerically(">", 0), BeNumerically("<", 16<<10)))
	})
})

var _ = Describe("collecting", func() {
	// Two appliers, a collector and an outage, in random order: the manifest
	// never names a missing chunk.
	It("never removes a chunk that a racing change publishes", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			s := storetest.New()
			variants := []*Text{parsed("", ""), parsed("burst = 20", "burst = 30"), parsed("burst = 20", "burst = 40")}
			draw := func() *Text { return variants[random.IntN(len(variants))] }
			race := func(key string, run func()) { s.BeforeKey, s.Before = key, run }
			for range 8 {
				base := current(s)
				chunk := ChunkPrefix + Digest(mustEncode(draw()))
				race([]string{ManifestKey, chunk}[random.IntN(2)], func() {
					if random.IntN(2) == 0 {
						_, _ = publisher(s, "racer").Apply(ctx, current(s), draw())
					}
					_, _ = publisher(s, "").Collect(ctx, 100)
				})
				_, _ = publisher(s, fmt.Sprint(random.Uint64())).Apply(ctx, base, draw())
				s.Before = nil
				if random.IntN(2) == 0 {
					_, err := publisher(s, "").Collect(ctx, 100)
					Expect(err).NotTo(HaveOccurred())
				}
				inForce(s)
			}
		}
	})

	It("leaves only named chunks once no change runs", func() {
		s := storetest.New()
		for i := range 6 {
			text := parsed("burst = 20", fmt.Sprintf("burst = %d", 21+i))
			_, err := publisher(s, fmt.Sprint(i)).Apply(ctx, current(s), text)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := s.CompareAndSet(ctx, store.Write{Key: ChunkPrefix + "orphan", Value: []byte("x")})
		Expect(err).NotTo(HaveOccurred())
		collected, err := publisher(s, "").Collect(ctx, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(collected.Kept).To(Equal(1), "the orphan may belong to a running change")
		_, err = publisher(s, "last").Apply(ctx, current(s), parsed("burst = 20", "burst = 50"))
		Expect(err).NotTo(HaveOccurred())
		collected, err = publisher(s, "").Collect(ctx, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(collected).To(Equal(Collected{Removed: 1}))
		chunks, err := s.List(ctx, ChunkPrefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks).To(HaveLen(len(current(s).digests())))
	})
})

// mustEncode returns the content of the workspace's chunk.
func mustEncode(text *Text) []byte {
	names, chunks, err := text.Compile()
	Expect(err).NotTo(HaveOccurred())
	return chunks[names["workspace/azul"]]
}

var _ = Describe("difference", func() {
	compare := func(old, replacement string) []string {
		before, err := parsed("", "").Configuration()
		Expect(err).NotTo(HaveOccurred())
		after, err := parsed(old, replacement).Configuration()
		Expect(err).NotTo(HaveOccurred())
		d := Compare(before, after)
		lines := []string{}
		for _, item := range d.Items {
			lines = append(lines, item.String())
		}
		for _, warning := range d.Warnings {
			lines = append(lines, "warning: "+warning)
		}
		return lines
	}
	const letters = "[service.letters]\ndepends_on = [\"files\"]\nslots = 1\nconnections = 1\ntimeout = \"1s\"\n" +
		"endpoints = {n1 = [\"127.0.0.1:2\"]}\nroute.send = {path = \"/\", methods = [\"POST\"], kind = \"action\"}\n"

	DescribeTable("is told in words",
		func(old, replacement string, lines ...string) {
			Expect(compare(old, replacement)).To(Equal(append([]string{}, lines...)))
		},
		Entry("rate", `"10/s"`, `"12/s"`, `workspace "azul" changes: rate from 10/s to 12/s`),
		Entry("shift cap", `"5/s"`, `"9/s"`, `region "north" changes: shift cap from 5/s to 9/s`),
		Entry("block", `"10.1.0.0/16"`, `"10.2.0.0/16"`,
			`client block 10.2.0.0/16 starts: in availability zone "n1"`, `client block 10.1.0.0/16 stops: in availability zone "n1"`),
		Entry("endpoint", `["127.0.0.1:1"]`, `["127.0.0.1:9"]`,
			`endpoint "127.0.0.1:1" stops: for service "files" in availability zone "n1"`,
			`endpoint "127.0.0.1:9" starts: for service "files" in availability zone "n1"`),
		Entry("dependency without capacity", "n1 = [\"127.0.0.1:1\"]", "n1 = []\n"+letters,
			`endpoint "127.0.0.1:1" stops: for service "files" in availability zone "n1"`,
			`service "letters" starts: 1 endpoints with 1 slots each`,
			`warning: service "files" would have no endpoint`,
			`warning: service "letters" depends on service "files", which would be left without capacity`),
		Entry("new firm", "[workspace.azul]", letters+"[workspace.rojo]\nrate = \"5/s\"\nburst = 5\nservices = [\"letters\"]\n[workspace.azul]",
			`service "letters" starts: 1 endpoints with 1 slots each`,
			`workspace "rojo" starts: 5/s with a burst of 5 for services letters`),
		Entry("nothing", "north", "north"),
	)
})
