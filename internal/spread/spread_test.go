package spread

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
	"lovagescale/internal/wire"
	"lovagescale/internal/workspacekey"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

var _ = Describe("Core", func() {
	var (
		s          *simulation
		identifier string
		key        string
	)

	BeforeEach(func() {
		s = newSimulation(1, false)
		s.applyEdit(false)
		s.grantKey()
		for identifier, key = range s.keys {
			continue
		}
		s.converge()
		Expect(s.violation).To(BeEmpty())
	})

	It("does not withdraw a key for a wrong token, nor for the key's digest, proof or salt", func() {
		core := s.nodes[0].core
		record := core.active.Keys[identifier]
		for _, token := range [][]byte{nil, []byte("wrong"), record.Digest, record.TokenDigest, record.Salt} {
			withdrawn, out := core.Withdraw(Withdrawal{Identifier: identifier, Token: token})
			Expect(withdrawn).To(BeFalse())
			Expect(out.Activate).To(BeNil())
		}
		Expect(core.active.Keys[identifier].Verify(key)).To(Equal(workspacekey.Valid))
	})

	It("propagates a pushed withdrawal to all instances while the store is unavailable", func() {
		s.withdrawKey(identifier, 0, false)
		s.store.Unavailable = true
		for range 40 {
			for i := range s.nodes {
				s.applyOutput(i, s.nodes[i].core.Tick(s.now))
			}
			for len(s.messages) > 0 {
				message := s.messages[0]
				s.messages = s.messages[1:]
				message()
			}
		}
		for _, n := range s.nodes {
			Expect(n.core.active.Keys[identifier].Verify(key)).To(Equal(workspacekey.Withdrawn), n.member.Instance)
		}
	})

	It("does not pull from a sender that is not a member", func() {
		_, out := s.nodes[0].core.HandleExchange(s.now, Summary{Instance: "stranger", Revision: 99})
		Expect(out.Pulls).To(BeEmpty())
	})

	It("rejects a reply that does not match the digest of its manifest", func() {
		fresh := New(membership.Member{Instance: "new", Zone: "a"}, rand.New(rand.NewPCG(1, 1)), Options{})
		fresh.SetMembers([]membership.Member{s.nodes[0].member})
		out := fresh.HandleExchangeReply(s.now, s.now, s.nodes[0].core.summary(s.now))
		Expect(out.Pulls).To(HaveLen(1))
		reply := s.nodes[0].core.HandlePull(s.now, out.Pulls[0].Request)
		reply.ChunkDigests = map[string]string{"zone/a": "other"}
		out = fresh.HandlePullReply(s.now, s.now, s.nodes[0].member.Instance, out.Pulls[0].Request, reply)
		Expect(out.Activate).To(BeNil())
		Expect(fresh.Revision()).To(BeZero())
	})

	It("puts no key, secret or token of an active key into a frame", func() {
		core := s.nodes[0].core
		secret := []byte(key[len(identifier)+1:])
		for _, body := range []any{core.summary(s.now), core.HandlePull(s.now, PullRequest{}),
			PullReply{Chunks: core.chunks}, StatusReply{}} {
			envelope, err := wire.Encode("any", 1, body)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Contains(envelope.Body, secret)).To(BeFalse())
		}
	})

	It("limits the chunks in a reply and completes the pull with further requests", func() {
		manifest, chunks := smallConfiguration.compile(5, "")
		core := New(membership.Member{Instance: "full", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)), Options{MaxReplyBytes: 2000})
		_, err := core.HandleStoreRead(s.now, manifest, chunks)
		Expect(err).NotTo(HaveOccurred())
		fresh := New(membership.Member{Instance: "new", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)), Options{})
		fresh.SetMembers([]membership.Member{core.self})
		out := fresh.HandleExchangeReply(s.now, s.now, core.summary(s.now))
		requests := 0
		for ; len(out.Pulls) > 0; requests++ {
			request := out.Pulls[0].Request
			reply := core.HandlePull(s.now, request)
			size := 0
			for _, content := range reply.Chunks {
				size += len(content)
			}
			Expect(len(reply.Chunks) == 1 || size <= 2000).To(BeTrue())
			out = fresh.HandlePullReply(s.now, s.now, "full", request, reply)
		}
		Expect(requests).To(BeNumerically(">", 2))
		Expect(fresh.manifest.Sum()).To(Equal(core.manifest.Sum()))
		Expect(fresh.Age(s.now.Add(time.Second))).To(BeEquivalentTo(1000))
	})

	It("sends only the difference from the requested revision", func() {
		before := s.nodes[0].core.manifest
		s.applyEdit(false)
		s.converge()
		reply := s.nodes[0].core.HandlePull(s.now, PullRequest{Revision: before.Revision, ChangeID: before.ChangeID})
		Expect(reply.BaseRevision).To(Equal(before.Revision))
		Expect(reply.ChunkDigests).To(HaveLen(2))
		Expect(reply.ChunkDigests).To(HaveKey("service/files"))
		Expect(reply.ChunkDigests).To(HaveKey("blocks/a/0"))
	})

	It("selects two watchers in each region whatever its size", func() {
		f := newFleet(60, configurationSize{regions: 3, zones: 6, services: 1, workspaces: 1})
		watchers := make(map[string]int)
		for _, core := range f.cores {
			if core.Watching() {
				watchers[core.regionOf(core.self.Zone)]++
			}
		}
		Expect(watchers).To(Equal(map[string]int{"region r0": 2, "region r1": 2, "region r2": 2}))
	})
})

var _ = Describe("history", func() {
	It("removes the oldest entries above its limit", func() {
		var h history
		at := func(r uint64) configuration.Manifest {
			return configuration.Manifest{Revision: r, Chunks: map[string]string{"a": string(rune(r))}}
		}
		for r := uint64(1); r <= maxHistoryEntries+2; r++ {
			h.add(at(r), at(r+1))
		}
		Expect(h.entries).To(HaveLen(maxHistoryEntries))
		_, known := h.changedSince(2, "")
		Expect(known).To(BeFalse())
		names, known := h.changedSince(3, "")
		Expect(known).To(BeTrue())
		Expect(names).To(Equal([]string{"a"}))
	})
})

// smallConfiguration is the size of a configuration with some dozens of chunks.
var smallConfiguration = configurationSize{regions: 3, zones: 6, services: 10, workspaces: 30, blocks: 6000}
