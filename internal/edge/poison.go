package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
)

// strikesToQuarantine is the endpoints that a request may crash.
const strikesToQuarantine = 3

// Times of finding out whether an endpoint crashed.
const (
	crashCheckAfter   = 60 * time.Millisecond
	crashCheckTimeout = 300 * time.Millisecond
)

// maxStrikesTold bounds the strikes of one heartbeat.
const maxStrikesTold = 32

// poison is the requests that crash endpoints, as all instances saw them. It is
// safe for concurrent use.
type poison struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func newPoison(options quarantine.Options) *poison {
	return &poison{table: quarantine.NewTable(options)}
}

func (p *poison) quarantined(now time.Time, f quarantine.Fingerprint) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.RemainingTime(now, f)
}

func (p *poison) strike(now time.Time, s quarantine.Strike) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Add(now, s)
}

// told takes the strikes of a peer.
func (p *poison) told(now time.Time, strikes []quarantine.Strike) {
	for _, s := range strikes {
		p.strike(now, s)
	}
}

// recent returns the strikes to tell.
func (p *poison) recent(now time.Time) []quarantine.Strike {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.ActiveStrikes(now, maxStrikesTold)
}

// strikeOf returns the strike of a request that crashed an endpoint. It counts once
// for each endpoint: a request that is poison crashes others too, while an endpoint
// that comes and goes crashes with whatever it runs.
func strikeOf(fingerprint quarantine.Fingerprint, endpoint string) quarantine.Strike {
	id := xxhash.Sum64(append(fingerprint[:], endpoint...))
	return quarantine.Strike{ID: id | 1, Fingerprint: fingerprint, Endpoint: endpoint}
}

// lost finds out whether the endpoint that dropped a request's connection has
// crashed, and counts a strike if so. An answer that was lost is no crash.
func (e *Edge) lost(q *request, endpoint *placement.Endpoint) {
	fingerprint := q.fingerprint
	id := q.asked.ID
	time.AfterFunc(crashCheckAfter, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		e.poison.strike(time.Now(), strikeOf(fingerprint, endpoint.ID))
		e.log.Warn().Err(err).Str("request", id).Str("endpoint", endpoint.ID).Msg("endpoint crashed with the request")
	})
}
