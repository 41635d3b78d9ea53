package action

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/call"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
)

// Environment is what a Stage works with.
type Environment struct {
	Incarnation string
	Now         control.Clock
	// Next runs an action that may start.
	Next call.Stage
	// Locate returns the link address of a live incarnation.
	Locate func(incarnation string) (link string, found bool)
	// Members returns the number of live entries, which share the store.
	Members func() int
	// Hand carries a call to the entry at a link address.
	Hand     Hand
	Store    store.Client
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Stage is the stage that runs actions at most once.
type Stage struct {
	env      Environment
	journals *journalReader
	claims   *limiter
	meters   meters

	mu   sync.Mutex // guards core and its tries
	core *Core
}

type meters struct {
	started, replayed, forwarded, resent metrics.Counter
	ran, notRun, unknown                 metrics.Counter
	claims, journalReads                 metrics.Counter
}

func newMeters(registry metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("action."+name, registry)
	}
	return meters{
		started:      counter("started"),
		replayed:     counter("replayed"),
		forwarded:    counter("forwarded"),
		resent:       counter("resent"),
		ran:          counter("outcome.ran"),
		notRun:       counter("outcome.not_run"),
		unknown:      counter("outcome.unknown"),
		claims:       counter("claims"),
		journalReads: counter("journal.reads"),
	}
}

// NewStage returns the stage of a new incarnation.
func NewStage(env Environment, options Options) *Stage {
	stage := &Stage{
		env:      env,
		journals: newJournalReader(env.Store, env.Now, env.Members),
		claims:   newLimiter(claimsPerSecond, env.Members),
		meters:   newMeters(env.Registry),
		core:     NewCore(env.Incarnation, options),
	}
	stage.registerGauges()
	return stage
}

func (s *Stage) registerGauges() {
	gauges := map[string]func(State) int{
		"records":       func(state State) int { return state.Records },
		"in_progress":   func(state State) int { return state.InProgress },
		"answers_bytes": func(state State) int { return state.AnswersBytes },
		"journal.bytes": func(state State) int { return state.JournalBytes },
	}
	for name, read := range gauges {
		gauge := metrics.NewFunctionalGauge(func() int64 { return int64(read(s.State())) })
		_ = s.env.Registry.Register("action."+name, gauge) // fails only when it is registered already
	}
}

// Serve implements call.Stage. Its error is a *refusal.Refusal.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	step := s.drive(ctx, c, nil)
	if step.Refused != nil {
		return nil, step.Refused
	}
	return step.Result, nil
}

// drive carries out the steps of a try until it is done.
func (s *Stage) drive(ctx context.Context, c *call.Call, handed *Handed) Step {
	s.mu.Lock()
	try, step := s.core.Begin(s.env.Now(), c, s.visible, handed)
	s.mu.Unlock()
	ranHere := false
	for step.Kind != Ended {
		ranHere = ranHere || step.Kind == Run
		step = s.carryOut(ctx, c, try, step)
	}
	if step.Result != nil && step.Result.Replayed && !ranHere {
		s.meters.replayed.Inc(1)
	}
	return step
}

func (s *Stage) carryOut(ctx context.Context, c *call.Call, try *Try, step Step) Step {
	switch step.Kind {
	case Run:
		return s.run(ctx, c, try)
	case Forward:
		return s.forward(ctx, c, try, step)
	case Claim:
		return s.claim(ctx, try)
	case ReadClaim:
		entry, err := s.env.Store.Get(ctx, try.ClaimKey())
		return s.next(func(now time.Time) Step { return try.ClaimRead(now, entry, err, s.visible) })
	default:
		s.meters.journalReads.Inc(1)
		journal := s.journals.read(ctx, step.Owner)
		return s.next(func(time.Time) Step { return try.JournalRead(journal) })
	}
}

// next takes one step of a try under the lock.
func (s *Stage) next(step func(now time.Time) Step) Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return step(s.env.Now())
}

func (s *Stage) visible(incarnation string) bool {
	_, found := s.env.Locate(incarnation)
	return found
}

// run passes a started action on. Once it is passed on it does not end when the
// caller goes away, so that a retry gets the answer.
func (s *Stage) run(ctx context.Context, c *call.Call, try *Try) Step {
	if ctx.Err() != nil {
		return s.next(func(now time.Time) Step { return try.Ran(now, nil, refuseAbandoned()) })
	}
	s.meters.started.Inc(1)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	result, err := s.env.Next.Serve(detached, c)
	step := s.next(func(now time.Time) Step { return try.Ran(now, result, err) })
	s.audit(c, try, step)
	return step
}

// audit writes the line that traces an action to its workspace.
func (s *Stage) audit(c *call.Call, try *Try, step Step) {
	outcome := refusal.Ran
	line := s.env.Log.Info()
	if step.Refused != nil {
		outcome = step.Refused.Outcome
		line = line.Str("refusal", string(step.Refused.Kind))
	} else {
		line = line.Int("status", step.Result.Answer.Status).Str("endpoint", step.Result.Endpoint)
	}
	s.count(outcome)
	line.Str("request_id", c.ID).
		Str("workspace", c.Workspace).
		Str("key_digest", try.Digest().String()).
		Str("owner", s.env.Incarnation).
		Str("service", c.Service).
		Str("route", c.Route).
		Str("outcome", string(outcome)).
		Msg("action")
}

func (s *Stage) count(outcome refusal.Outcome) {
	switch outcome {
	case refusal.Ran:
		s.meters.ran.Inc(1)
	case refusal.NotRun:
		s.meters.notRun.Inc(1)
	default:
		s.meters.unknown.Inc(1)
	}
}

func (s *Stage) claim(ctx context.Context, try *Try) Step {
	if !s.claims.allow(s.env.Now()) {
		return refuse(refuseStoreOut())
	}
	s.meters.claims.Inc(1)
	write, err := try.ClaimWrite(s.env.Now())
	if err == nil {
		_, err = s.env.Store.CompareAndSet(ctx, write)
	}
	return s.next(func(now time.Time) Step { return try.Claimed(now, err) })
}

// Vouch returns the outcome that a refusal before this stage may state of an
// action: "not-run" only when it is sure that the action has not run.
func (s *Stage) Vouch(workspace, key string) refusal.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Vouch(workspace, key)
}

// Seal ends the start of actions, before the last write of the journal.
func (s *Stage) Seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Seal()
}

// State returns the state for a dump.
func (s *Stage) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State()
}

// Journal returns the journal value and the count of changes that it holds.
func (s *Stage) Journal() (value []byte, changes uint64, err error) {
	s.mu.Lock()
	journal, changes := s.core.Journal()
	s.mu.Unlock()
	value, err = journal.Encode()
	return value, changes, err
}

// Changes counts the changes of the journal.
func (s *Stage) Changes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Changes()
}
