package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/quarantine"
)

func TestQuarantineCountsEachEndpointOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var request, other quarantine.Fingerprint
	request[0], other[0] = 1, 2
	table := newQuarantineTable(quarantine.Options{StrikeThreshold: strikeThreshold})
	for range 5 {
		table.addStrike(now, newStrike(request, "flapping"))
	}
	g.Expect(table.remainingTime(now, request)).To(BeZero(), "one endpoint that crashes repeatedly")
	table.addStrike(now, newStrike(request, "second"))
	table.addStrike(now, newStrike(request, "third"))
	g.Expect(table.remainingTime(now, request)).To(BeNumerically(">", 0))
	g.Expect(table.remainingTime(now, other)).To(BeZero())

	peer := newQuarantineTable(quarantine.Options{StrikeThreshold: strikeThreshold})
	peer.addStrikes(now, table.activeStrikes(now))
	peer.addStrikes(now, table.activeStrikes(now))
	g.Expect(peer.remainingTime(now, request)).To(BeNumerically(">", 0), "reported by a peer")
}
