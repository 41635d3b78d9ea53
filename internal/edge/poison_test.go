package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/quarantine"
)

func TestPoisonCountsEndpointsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var request, other quarantine.Fingerprint
	request[0], other[0] = 1, 2
	seen := newPoison(quarantine.Options{StrikeThreshold: strikesToQuarantine})
	for range 5 {
		seen.strike(now, strikeOf(request, "flapping"))
	}
	g.Expect(seen.quarantined(now, request)).To(BeZero(), "one endpoint that comes and goes")
	seen.strike(now, strikeOf(request, "second"))
	seen.strike(now, strikeOf(request, "third"))
	g.Expect(seen.quarantined(now, request)).To(BeNumerically(">", 0))
	g.Expect(seen.quarantined(now, other)).To(BeZero())

	peer := newPoison(quarantine.Options{StrikeThreshold: strikesToQuarantine})
	peer.told(now, seen.recent(now))
	peer.told(now, seen.recent(now))
	g.Expect(peer.quarantined(now, request)).To(BeNumerically(">", 0), "told by a peer")
}
