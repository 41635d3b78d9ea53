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

var _ = Describe("core", func() {
	var (
		w          *world
		identifier string
		key        string
	)

	BeforeEach(func() {
		w = newWorld(1, false)
		w.edit(false)
		w.grant()
		for identifier, key = range w.keys {
			continue
		}
		w.settle()
		Expect(w.incident).To(BeEmpty())
	})

	It("does not withdraw a key by a wrong token, its digest or its proof", func() {
		core := w.nodes[0].core
		record := core.current.Keys[identifier]
		for _, token := range [][]byte{nil, []byte("wrong"), record.Digest, record.Proof, record.Salt} {
			withdrawn, out := core.Withdraw(Withdrawal{Identifier: identifier, Token: token})
			Expect(withdrawn).To(BeFalse())
			Expect(out.Install).To(BeNil())
		}
		Expect(core.current.Keys[identifier].Verify(key)).To(Equal(workspacekey.Valid))
	})

	It("passes a pushed withdrawal on to all while the store is out", func() {
		w.withdraw(identifier, 0, false)
		w.store.Down = true
		for range 40 {
			for i := range w.nodes {
				w.apply(i, w.nodes[i].core.Tick(w.now))
			}
			for len(w.queue) > 0 {
				message := w.queue[0]
				w.queue = w.queue[1:]
				message()
			}
		}
		for _, n := range w.nodes {
			Expect(n.core.current.Keys[identifier].Verify(key)).To(Equal(workspacekey.Withdrawn), n.member.Instance)
		}
	})

	It("pulls nothing from a sender that is not a member", func() {
		_, out := w.nodes[0].core.HandleExchange(w.now, Summary{Instance: "stranger", Revision: 99})
		Expect(out.Pulls).To(BeEmpty())
	})

	It("takes nothing from a reply that does not match its digests", func() {
		fresh := New(membership.Member{Instance: "new", Zone: "a"}, rand.New(rand.NewPCG(1, 1)), Options{})
		fresh.Members([]membership.Member{w.nodes[0].member})
		out := fresh.ExchangeReplied(w.now, w.now, w.nodes[0].core.summary(w.now))
		Expect(out.Pulls).To(HaveLen(1))
		reply := w.nodes[0].core.HandlePull(w.now, out.Pulls[0].Request)
		reply.Set = map[string]string{"zone/a": "other"}
		out = fresh.PullReplied(w.now, w.now, w.nodes[0].member.Instance, out.Pulls[0].Request, reply)
		Expect(out.Install).To(BeNil())
		Expect(fresh.Revision()).To(BeZero())
	})

	It("puts no key, secret or token of a key in force in a frame", func() {
		core := w.nodes[0].core
		secret := []byte(key[len(identifier)+1:])
		for _, body := range []any{core.summary(w.now), core.HandlePull(w.now, PullRequest{}),
			PullReply{Chunks: core.chunks}, StatusReply{}} {
			envelope, err := wire.Encode("any", 1, body)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Contains(envelope.Body, secret)).To(BeFalse())
		}
	})

	It("bounds the chunks of a reply and completes the pull by asking for the rest", func() {
		manifest, chunks := smallEstate.compile(5, "")
		core := New(membership.Member{Instance: "full", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)), Options{MaxReplyBytes: 2000})
		_, err := core.StoreRead(w.now, manifest, chunks)
		Expect(err).NotTo(HaveOccurred())
		fresh := New(membership.Member{Instance: "new", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)), Options{})
		fresh.Members([]membership.Member{core.self})
		out := fresh.ExchangeReplied(w.now, w.now, core.summary(w.now))
		asked := 0
		for ; len(out.Pulls) > 0; asked++ {
			request := out.Pulls[0].Request
			reply := core.HandlePull(w.now, request)
			size := 0
			for _, content := range reply.Chunks {
				size += len(content)
			}
			Expect(len(reply.Chunks) == 1 || size <= 2000).To(BeTrue())
			out = fresh.PullReplied(w.now, w.now, "full", request, reply)
		}
		Expect(asked).To(BeNumerically(">", 2))
		Expect(fresh.manifest.Sum()).To(Equal(core.manifest.Sum()))
		Expect(fresh.Age(w.now.Add(time.Second))).To(BeEquivalentTo(1000))
	})

	It("sends what changed since the puller's revision only", func() {
		before := w.nodes[0].core.manifest
		w.edit(false)
		w.settle()
		reply := w.nodes[0].core.HandlePull(w.now, PullRequest{Revision: before.Revision, ChangeID: before.ChangeID})
		Expect(reply.Base).To(Equal(before.Revision))
		Expect(reply.Set).To(HaveLen(2))
		Expect(reply.Set).To(HaveKey("service/files"))
		Expect(reply.Set).To(HaveKey("blocks/a/0"))
	})

	It("chooses two watchers in a region whatever its size", func() {
		f := newFleet(60, estate{regions: 3, zones: 6, services: 1, workspaces: 1})
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
	It("forgets the oldest steps", func() {
		var h history
		at := func(r uint64) configuration.Manifest {
			return configuration.Manifest{Revision: r, Chunks: map[string]string{"a": string(rune(r))}}
		}
		for r := uint64(1); r <= maxSteps+2; r++ {
			h.add(at(r), at(r+1))
		}
		Expect(h.steps).To(HaveLen(maxSteps))
		_, known := h.since(2, "")
		Expect(known).To(BeFalse())
		names, known := h.since(3, "")
		Expect(known).To(BeTrue())
		Expect(names).To(Equal([]string{"a"}))
	})
})

// smallEstate has some dozens of chunks.
var smallEstate = estate{regions: 3, zones: 6, services: 10, workspaces: 30, blocks: 6000}
