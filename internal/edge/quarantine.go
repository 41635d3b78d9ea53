package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
)

// strikeThreshold is the number of endpoints whose crash puts a request in quarantine.
const strikeThreshold = 3

// Times of the check whether an endpoint crashed.
const (
	crashCheckDelay   = 60 * time.Millisecond
	crashCheckTimeout = time.Second
)

// maxReportedStrikes bounds the strikes that an instance reports at a time.
const maxReportedStrikes = 32

// quarantineTable holds the requests that crashed endpoints, as seen by all instances. It
// is safe for concurrent use.
type quarantineTable struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantineTable(options quarantine.Options) *quarantineTable {
	return &quarantineTable{table: quarantine.NewTable(options)}
}

func (t *quarantineTable) remainingTime(now time.Time, f quarantine.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RemainingTime(now, f)
}

func (t *quarantineTable) addStrike(now time.Time, s quarantine.Strike) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Add(now, s)
}

// addStrikes adds the strikes that a peer reported.
func (t *quarantineTable) addStrikes(now time.Time, strikes []quarantine.Strike) {
	for _, s := range strikes {
		t.addStrike(now, s)
	}
}

// activeStrikes returns the strikes to report to peers.
func (t *quarantineTable) activeStrikes(now time.Time) []quarantine.Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.ActiveStrikes(now, maxReportedStrikes)
}

// newStrike returns the strike of a request that crashed an endpoint. The identifier
// depends on both, so that each endpoint counts once: a poison request crashes other
// endpoints too, while an endpoint that keeps restarting crashes with any request. The
// identifier is never 0, because a strike with identifier 0 counts each time.
func newStrike(fingerprint quarantine.Fingerprint, endpoint string) quarantine.Strike {
	id := xxhash.Sum64(append(fingerprint[:], endpoint...))
	return quarantine.Strike{ID: id | 1, Fingerprint: fingerprint, Endpoint: endpoint}
}

// checkForCrash checks whether the endpoint that dropped a request's connection has
// crashed, and counts a strike if so. An endpoint that still accepts connections has only
// lost the answer, and an instance that reaches no endpoint has lost it itself.
func (e *Edge) checkForCrash(q *request, endpoint *placement.Endpoint) {
	fingerprint := q.fingerprint
	id := q.caller.ID
	lostAt := time.Now()
	time.AfterFunc(crashCheckDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		err := e.dialOnce(ctx, endpoint)
		if err == nil || !e.reachesOthers(ctx, endpoint, lostAt) {
			return
		}
		e.quarantine.addStrike(time.Now(), newStrike(fingerprint, endpoint.ID))
		e.log.Warn().Err(err).Str("request", id).Str("endpoint", endpoint.ID).Msg("endpoint crashed with the request")
	})
}
