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

// Environment holds the dependencies of a Stage.
type Environment struct {
	Incarnation string
	Now         control.Clock
	// Next is the stage that runs an action once it may start.
	Next call.Stage
	// Locate returns the link address of a live incarnation.
	Locate func(incarnation string) (link string, found bool)
	// Members returns the number of live entries, which share the rates of store
	// calls.
	Members func() int
	// Forward sends a call to the entry at a link address.
	Forward  Forwarder
	Store    store.Client
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Stage is the call.Stage that runs each action at most once.
type Stage struct {
	env           Environment
	journalReader *journalReader
	claimLimiter  *limiter
	counters      counters

	mu   sync.Mutex // guards core and its attempts
	core *Core
}

type counters struct {
	started, replayed, forwarded, resent metrics.Counter
	ran, notRun, unknown                 metrics.Counter
	claims, journalReads                 metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("action."+name, registry)
	}
	return counters{
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
		env:           env,
		journalReader: newJournalReader(env.Store, env.Now, env.Members),
		claimLimiter:  newLimiter(claimsPerSecond, env.Members),
		counters:      newCounters(env.Registry),
		core:          NewCore(env.Incarnation, options),
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
	for name, value := range gauges {
		gauge := metrics.NewFunctionalGauge(func() int64 { return int64(value(s.State())) })
		_ = s.env.Registry.Register("action."+name, gauge) // fails only if it is already registered
	}
}

// Serve implements call.Stage. Its error is a *refusal.Refusal.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	step := s.execute(ctx, c, nil)
	if step.Refused != nil {
		return nil, step.Refused
	}
	return step.Result, nil
}

// execute carries out the steps of an attempt until it is done.
func (s *Stage) execute(ctx context.Context, c *call.Call, forwardInfo *ForwardInfo) Step {
	s.mu.Lock()
	attempt, step := s.core.Begin(s.env.Now(), c, s.isLive, forwardInfo)
	s.mu.Unlock()
	ranHere := false
	for step.Kind != StepDone {
		ranHere = ranHere || step.Kind == StepRun
		step = s.executeStep(ctx, c, attempt, step)
	}
	if step.Result != nil && step.Result.Replayed && !ranHere {
		s.counters.replayed.Inc(1)
	}
	return step
}

func (s *Stage) executeStep(ctx context.Context, c *call.Call, attempt *Attempt, step Step) Step {
	switch step.Kind {
	case StepRun:
		return s.run(ctx, c, attempt)
	case StepForward:
		return s.forward(ctx, c, attempt, step)
	case StepClaim:
		return s.claim(ctx, attempt)
	case StepReadClaim:
		entry, err := s.env.Store.Get(ctx, attempt.ClaimKey())
		return s.advance(func(now time.Time) Step { return attempt.ClaimReadDone(now, entry, err, s.isLive) })
	default:
		s.counters.journalReads.Inc(1)
		journal := s.journalReader.read(ctx, step.Owner)
		return s.advance(func(time.Time) Step { return attempt.JournalReadDone(journal) })
	}
}

// advance calls transition, which changes the state of an attempt, under the lock and
// returns the attempt's next step.
func (s *Stage) advance(transition func(now time.Time) Step) Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return transition(s.env.Now())
}

func (s *Stage) isLive(incarnation string) bool {
	_, found := s.env.Locate(incarnation)
	return found
}

// run passes a started action to the next stage. From then on the action is not
// canceled when the caller disconnects, so that a retry gets the answer.
func (s *Stage) run(ctx context.Context, c *call.Call, attempt *Attempt) Step {
	if ctx.Err() != nil {
		return s.advance(func(now time.Time) Step { return attempt.RunDone(now, nil, refuseAbandoned()) })
	}
	s.counters.started.Inc(1)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	result, err := s.env.Next.Serve(detached, c)
	step := s.advance(func(now time.Time) Step { return attempt.RunDone(now, result, err) })
	s.audit(c, attempt, step)
	return step
}

// audit writes the log line that links an action to its workspace.
func (s *Stage) audit(c *call.Call, attempt *Attempt, step Step) {
	outcome := refusal.Ran
	line := s.env.Log.Info()
	if step.Refused != nil {
		outcome = step.Refused.Outcome
		line = line.Str("refusal", string(step.Refused.Kind))
	} else {
		line = line.Int("status", step.Result.Answer.Status).Str("endpoint", step.Result.Endpoint)
	}
	s.countOutcome(outcome)
	line.Str("request_id", c.ID).
		Str("workspace", c.Workspace).
		Str("key_digest", attempt.Digest().String()).
		Str("owner", s.env.Incarnation).
		Str("service", c.Service).
		Str("route", c.Route).
		Str("outcome", string(outcome)).
		Msg("action")
}

func (s *Stage) countOutcome(outcome refusal.Outcome) {
	switch outcome {
	case refusal.Ran:
		s.counters.ran.Inc(1)
	case refusal.NotRun:
		s.counters.notRun.Inc(1)
	default:
		s.counters.unknown.Inc(1)
	}
}

func (s *Stage) claim(ctx context.Context, attempt *Attempt) Step {
	if !s.claimLimiter.allow(s.env.Now()) {
		return refusedStep(refuseStoreUnavailable())
	}
	s.counters.claims.Inc(1)
	write, err := attempt.ClaimWrite(s.env.Now())
	if err == nil {
		_, err = s.env.Store.CompareAndSet(ctx, write)
	}
	return s.advance(func(now time.Time) Step { return attempt.ClaimDone(now, err) })
}

// RefusalOutcome returns the outcome to report for an action that is refused before
// it reaches this stage: "not-run" only if the action has certainly not run.
func (s *Stage) RefusalOutcome(workspace, key string) refusal.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.RefusalOutcome(workspace, key)
}

// Seal stops the start of further actions, before the last write of the journal.
func (s *Stage) Seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Seal()
}

// State returns the state for a state dump.
func (s *Stage) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State()
}

// Journal returns the journal value and the number of changes that it includes.
func (s *Stage) Journal() (value []byte, changes uint64, err error) {
	s.mu.Lock()
	journal, changes := s.core.Journal()
	s.mu.Unlock()
	value, err = journal.Encode()
	return value, changes, err
}

// Changes returns the number of changes to the journal so far.
func (s *Stage) Changes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Changes()
}
