package link

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Traffic", func() {
	It("counts calls and bytes by message type and group of peers", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		address, _, _ := serveTestHandlers(ctx, nil)
		peers := NewPeers()
		var reply textBody
		for range 2 {
			Expect(peers.Client(address).Call(ctx, "echo", textBody{"hello"}, &reply)).To(Succeed())
		}
		group := func(peer string) string {
			Expect(peer).To(Equal(address))
			return "zone"
		}
		encoded := int64(len("\x81\xa4Text\xa5hello"))
		Expect(peers.Traffic(group)).To(Equal(map[TrafficKey]Traffic{
			{Type: "echo", Group: "zone"}: {Calls: 2, SentBytes: 2 * encoded, ReceivedBytes: 2 * encoded},
		}))
	})
})
