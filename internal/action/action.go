// Package action runs each action at most once.
//
// An action's idempotency key is "<owner>.<unique>". The owner is an entry
// incarnation, named in the look-up answer, and only that incarnation may
// start the action: its memory decides. A repeated key gets the first answer.
// A key that is in progress, that was used with another body or that belongs
// to another incarnation is refused. The table is bounded; at the bound a new
// key is refused and none is forgotten before its retention ends.
package action

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
)

// retryInProgress tells callers when to ask for a running action again.
const retryInProgress = time.Second

// Options configure a Stage. The zero value uses the defaults.
type Options struct {
	// Capacity bounds the remembered keys; default 100,000.
	Capacity int
	// Retention is how long a finished key is remembered; default 1 h.
	Retention time.Duration
}

// Defaults of Options.
const (
	defaultCapacity  = 100_000
	defaultRetention = time.Hour
)

// Stage is the stage that runs actions at most once.
type Stage struct {
	owner     string
	now       control.Clock
	next      call.Stage
	capacity  int
	retention time.Duration

	mu      sync.Mutex
	records map[recordKey]*record
}

type recordKey struct{ workspace, key string }

type record struct {
	bodyDigest [sha256.Size]byte
	finished   bool
	finishedAt time.Time
	result     *call.Result
	refused    *refusal.Refusal
}

// New returns a stage of the owner incarnation that passes new actions on to
// next.
func New(owner string, now control.Clock, next call.Stage, options Options) *Stage {
	stage := &Stage{
		owner:     owner,
		now:       now,
		next:      next,
		capacity:  options.Capacity,
		retention: options.Retention,
		records:   make(map[recordKey]*record),
	}
	if stage.capacity == 0 {
		stage.capacity = defaultCapacity
	}
	if stage.retention == 0 {
		stage.retention = defaultRetention
	}
	return stage
}

// SplitKey returns the owner part of an idempotency key.
func SplitKey(key string) (owner, unique string, ok bool) {
	owner, unique, ok = strings.Cut(key, ".")
	return owner, unique, ok && owner != "" && unique != ""
}

// Serve implements call.Stage.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	owner, _, ok := SplitKey(c.IdempotencyKey)
	if !ok {
		return nil, refusal.New(http.StatusBadRequest, refusal.KeyOfActionInvalid, refusal.NotRun,
			"Idempotency-Key must be <owner>.<unique> with an owner of the look-up answer")
	}
	if owner != s.owner {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.OwnerUnreachable, refusal.Unknown,
			fmt.Sprintf("owner %q of the idempotency key cannot be reached", owner))
	}
	started, known, refused := s.start(c)
	if refused != nil {
		return nil, refused
	}
	if known != nil {
		return known, nil
	}
	result, err := s.next.Serve(ctx, c)
	return s.finish(c, started, result, err)
}

// start records a new key, or returns the outcome of a known one.
func (s *Stage) start(c *call.Call) (*record, *call.Result, *refusal.Refusal) {
	key := recordKey{workspace: c.Workspace, key: c.IdempotencyKey}
	digest := requestDigest(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, found := s.records[key]; found {
		return nil, r.replay(), r.refusalFor(digest)
	}
	if len(s.records) >= s.capacity {
		s.forgetExpired()
	}
	if len(s.records) >= s.capacity {
		return nil, nil, refusal.New(http.StatusServiceUnavailable, refusal.ActionTableFull, refusal.NotRun,
			"table of actions is full").After(retryInProgress)
	}
	r := &record{bodyDigest: digest}
	s.records[key] = r
	return r, nil, nil
}

func requestDigest(c *call.Call) [sha256.Size]byte {
	parts := [][]byte{[]byte(c.Request.Method), []byte(c.Request.Target), c.Request.Body}
	return sha256.Sum256(bytes.Join(parts, []byte{0}))
}

func (r *record) replay() *call.Result {
	replayed := *r.result
	replayed.Replayed = true
	return &replayed
}

func (r *record) refusalFor(digest [sha256.Size]byte) *refusal.Refusal {
	switch {
	case digest != r.bodyDigest:
		return refusal.New(http.StatusUnprocessableEntity, refusal.KeyOfActionReused, refusal.Unknown,
			"Idempotency-Key was used with another request")
	case !r.finished:
		return refusal.New(http.StatusConflict, refusal.ActionInProgress, refusal.Unknown,
			"action is in progress").After(retryInProgress)
	default:
		return r.refused
	}
}

// forgetExpired must be called with the lock held.
func (s *Stage) forgetExpired() {
	oldest := s.now().Add(-s.retention)
	for key, r := range s.records {
		if r.finished && r.finishedAt.Before(oldest) {
			delete(s.records, key)
		}
	}
}

// finish records the outcome. A key whose action did not run is forgotten, so
// that the caller may try it again.
func (s *Stage) finish(c *call.Call, r *record, result *call.Result, err error) (*call.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.finished = true
	r.finishedAt = s.now()
	r.result = result
	if err == nil {
		return result, nil
	}
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(http.StatusBadGateway, refusal.ActionUnknown, refusal.Unknown,
			"outcome of the action is unknown")
	}
	r.refused = refused
	if refused.Outcome == refusal.NotRun {
		delete(s.records, recordKey{workspace: c.Workspace, key: c.IdempotencyKey})
	}
	return nil, refused
}
