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

// parseReplaced parses validText after replacing the first occurrence of old.
func parseReplaced(old, replacement string) *Text {
	text, err := Parse("configuration.toml", []byte(strings.Replace(validText, old, replacement, 1)))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return text
}

func newPublisher(s store.Client, change string) *Publisher {
	return &Publisher{Store: s, Author: "ana", ChangeID: change}
}

func readCurrent(s store.Client) PublishedManifest {
	published, err := newPublisher(s, "").Current(ctx)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return published
}

// grantKey grants a key for workspace azul. The seed determines the key.
func grantKey(s store.Client, seed byte) (string, workspacekey.Record) {
	random := strings.NewReader(strings.Repeat(string(seed), 100))
	key, record, err := workspacekey.Generate(random, "azul")
	Expect(err).NotTo(HaveOccurred())
	_, err = newPublisher(s, "grant "+key).GrantKey(ctx, record, []byte(key))
	Expect(err).NotTo(HaveOccurred())
	return key, record
}

// loadCurrent returns the configuration in the store.
func loadCurrent(s store.Client) *Configuration {
	c, err := newPublisher(s, "").Load(ctx, readCurrent(s))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("publishing", func() {
	var s *storetest.Store

	BeforeEach(func() {
		s = storetest.New()
		Expect(newPublisher(s, "first").Apply(ctx, PublishedManifest{}, parseReplaced("", ""))).To(BeEquivalentTo(1))
	})

	It("reports success when the reply was lost", func() {
		base := readCurrent(s)
		s.BeforeWriteKey, s.BeforeWrite = ManifestKey, func() { s.LoseReplies = 1 }
		Expect(newPublisher(s, "second").Apply(ctx, base, parseReplaced("burst = 20", "burst = 30"))).To(BeEquivalentTo(2))
		Expect(loadCurrent(s).Workspaces["azul"].Burst).To(Equal(30.0))
	})

	It("reports success when the reply was lost and another change followed", func() {
		manifest := readCurrent(s).Manifest.Successor(Change{Revision: 2, ChangeID: "mine"}, nil)
		manifest = manifest.Successor(Change{Revision: 3, ChangeID: "other"}, nil)
		revision, err := newPublisher(s, "mine").outcomeFrom(readCurrent(s), PublishedManifest{Manifest: manifest}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeEquivalentTo(2))
	})

	It("reports failure when the write was lost, and keeps it from taking effect later", func() {
		base := readCurrent(s)
		s.BeforeWriteKey, s.BeforeWrite = ManifestKey, func() { s.DropWrites = 1 }
		_, err := newPublisher(s, "second").Apply(ctx, base, parseReplaced("burst = 20", "burst = 30"))
		Expect(err).To(BeAssignableToTypeOf(&NotAppliedError{}))
		s.DeliverDropped()
		Expect(loadCurrent(s).Workspaces["azul"].Burst).To(Equal(20.0))
	})

	It("reports the change that was published first and leaves it in place", func() {
		base := readCurrent(s)
		s.BeforeWriteKey, s.BeforeWrite = ManifestKey, func() {
			Expect(newPublisher(s, "other").Apply(ctx, base, parseReplaced("burst = 20", "burst = 40"))).To(BeEquivalentTo(2))
		}
		_, err := newPublisher(s, "mine").Apply(ctx, base, parseReplaced("burst = 20", "burst = 30"))
		Expect(err).To(Equal(&SupersededError{Revision: 2, Author: "ana", ChangeID: "other"}))
		Expect(loadCurrent(s).Workspaces["azul"].Burst).To(Equal(40.0))
	})

	It("reports failure while the store is unavailable", func() {
		base := readCurrent(s)
		s.Unavailable = true
		_, err := newPublisher(s, "second").Apply(ctx, base, parseReplaced("burst = 20", "burst = 30"))
		Expect(err).To(BeAssignableToTypeOf(&NotAppliedError{}))
	})

	It("grants a key on top of a concurrent change of the text", func() {
		s.BeforeWriteKey, s.BeforeWrite = ManifestKey, func() {
			Expect(newPublisher(s, "other").Apply(ctx, readCurrent(s), parseReplaced("burst = 20", "burst = 40"))).To(BeEquivalentTo(2))
		}
		key, record := grantKey(s, 'a')
		c := loadCurrent(s)
		Expect(c.Revision).To(BeEquivalentTo(3))
		Expect(c.Workspaces["azul"].Burst).To(Equal(40.0))
		Expect(c.Keys[record.Identifier].Verify(key)).To(Equal(workspacekey.Valid))
	})

	It("keeps a withdrawal after a new grant and after the workspace is removed and restored", func() {
		key, record := grantKey(s, 'a')
		_, err := newPublisher(s, "withdraw").WithdrawKey(ctx, "azul", record.Identifier)
		Expect(err).NotTo(HaveOccurred())
		grantKey(s, 'b')
		renamed := parseReplaced("[workspace.azul]", "[workspace.verde]")
		_, err = newPublisher(s, "without").Apply(ctx, readCurrent(s), renamed)
		Expect(err).NotTo(HaveOccurred())
		_, err = newPublisher(s, "again").Apply(ctx, readCurrent(s), parseReplaced("", ""))
		Expect(err).NotTo(HaveOccurred())
		c := loadCurrent(s)
		Expect(c.Keys[record.Identifier].Verify(key)).To(Equal(workspacekey.Withdrawn))
		Expect(c.Keys).To(HaveLen(2))
	})

	It("keeps only the newest tombstones", func() {
		var records []workspacekey.Record
		for i := range MaxTombstones + 5 {
			records = append(records, workspacekey.Record{Identifier: fmt.Sprint(i), Digest: []byte{1}})
		}
		for i := range MaxTombstones + 3 {
			var err error
			records, err = withdrawRecord(records, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(records).To(HaveLen(MaxTombstones + 2))
		Expect(records[0].Identifier).To(Equal(fmt.Sprint(MaxTombstones + 3)))
		Expect(records[2]).To(Equal(workspacekey.Record{Identifier: "3", Withdrawn: true}))
	})

	It("refuses a key for a workspace that does not exist", func() {
		_, err := newPublisher(s, "grant").GrantKey(ctx, workspacekey.Record{Identifier: "x", Workspace: "rojo"}, nil)
		Expect(err).To(Equal(&WorkspaceUnknownError{Workspace: "rojo"}))
	})

	It("changes only small chunks when one of many client blocks changes", func() {
		textWithBlock := func(extra string) *Text {
			text := parseReplaced("", "")
			zone := text.Zone["n1"]
			for i := range 4067 {
				zone.ClientBlocks = append(zone.ClientBlocks, fmt.Sprintf("10.%d.%d.0/24", 2+i/256, i%256))
			}
			zone.ClientBlocks = append(zone.ClientBlocks, extra)
			text.Zone["n1"] = zone
			return text
		}
		before, _, err := textWithBlock("11.0.0.0/24").Compile()
		Expect(err).NotTo(HaveOccurred())
		after, chunks, err := textWithBlock("11.0.1.0/24").Compile()
		Expect(err).NotTo(HaveOccurred())
		changedBytes := 0
		for name, digest := range after {
			if before[name] != digest {
				changedBytes += len(chunks[digest])
			}
		}
		Expect(changedBytes).To(And(BeNumerically(">", 0), BeNumerically("<", 16<<10)))
	})
})

var _ = Describe("garbage collection", func() {
	// Runs a concurrent change and a collection in the middle of another change,
	// at random points. loadCurrent fails if the manifest then references a chunk
	// that has been removed.
	It("never removes a chunk that a concurrent change publishes", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			s := storetest.New()
			variants := []*Text{parseReplaced("", ""), parseReplaced("burst = 20", "burst = 30"), parseReplaced("burst = 20", "burst = 40")}
			draw := func() *Text { return variants[random.IntN(len(variants))] }
			runBefore := func(key string, run func()) { s.BeforeWriteKey, s.BeforeWrite = key, run }
			for range 8 {
				base := readCurrent(s)
				chunk := ChunkPrefix + Digest(workspaceChunk(draw()))
				runBefore([]string{ManifestKey, chunk}[random.IntN(2)], func() {
					if random.IntN(2) == 0 {
						_, _ = newPublisher(s, "concurrent").Apply(ctx, readCurrent(s), draw())
					}
					_, _ = newPublisher(s, "").CollectGarbage(ctx, 100)
				})
				_, _ = newPublisher(s, fmt.Sprint(random.Uint64())).Apply(ctx, base, draw())
				s.BeforeWrite = nil
				if random.IntN(2) == 0 {
					_, err := newPublisher(s, "").CollectGarbage(ctx, 100)
					Expect(err).NotTo(HaveOccurred())
				}
				loadCurrent(s)
			}
		}
	})

	It("leaves only referenced chunks when no change is in progress", func() {
		s := storetest.New()
		for i := range 6 {
			text := parseReplaced("burst = 20", fmt.Sprintf("burst = %d", 21+i))
			_, err := newPublisher(s, fmt.Sprint(i)).Apply(ctx, readCurrent(s), text)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := s.CompareAndSet(ctx, store.Write{Key: ChunkPrefix + "orphan", Value: []byte("x")})
		Expect(err).NotTo(HaveOccurred())
		collected, err := newPublisher(s, "").CollectGarbage(ctx, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(collected.Kept).To(Equal(1), "the orphan may belong to a change in progress")
		_, err = newPublisher(s, "last").Apply(ctx, readCurrent(s), parseReplaced("burst = 20", "burst = 50"))
		Expect(err).NotTo(HaveOccurred())
		collected, err = newPublisher(s, "").CollectGarbage(ctx, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(collected).To(Equal(CollectionResult{Removed: 1}))
		chunks, err := s.List(ctx, ChunkPrefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks).To(HaveLen(len(readCurrent(s).referencedDigests())))
	})
})

// workspaceChunk returns the content of the chunk of workspace azul.
func workspaceChunk(text *Text) []byte {
	digests, chunks, err := text.Compile()
	Expect(err).NotTo(HaveOccurred())
	return chunks[digests["workspace/azul"]]
}

var _ = Describe("difference", func() {
	compare := func(old, replacement string) []string {
		before, err := parseReplaced("", "").Configuration()
		Expect(err).NotTo(HaveOccurred())
		after, err := parseReplaced(old, replacement).Configuration()
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
	const lettersService = "[service.letters]\ndepends_on = [\"files\"]\nslots = 1\nconnections = 1\ntimeout = \"1s\"\n" +
		"endpoints = {n1 = [\"127.0.0.1:2\"]}\nroute.send = {path = \"/\", methods = [\"POST\"], kind = \"action\"}\n"

	DescribeTable("is described in words",
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
		Entry("dependency without capacity", "n1 = [\"127.0.0.1:1\"]", "n1 = []\n"+lettersService,
			`endpoint "127.0.0.1:1" stops: for service "files" in availability zone "n1"`,
			`service "letters" starts: 1 endpoints with 1 slots each`,
			`warning: service "files" would have no endpoint`,
			`warning: service "letters" depends on service "files", which would be left without capacity`),
		Entry("new workspace", "[workspace.azul]", lettersService+"[workspace.rojo]\nrate = \"5/s\"\nburst = 5\nservices = [\"letters\"]\n[workspace.azul]",
			`service "letters" starts: 1 endpoints with 1 slots each`,
			`workspace "rojo" starts: 5/s with a burst of 5 for services letters`),
		Entry("nothing", "north", "north"),
	)
})
