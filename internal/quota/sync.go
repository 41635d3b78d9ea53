package quota

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/control"
	"lovagescale/internal/store"
)

// Keys of the store.
const (
	zonePrefix = "quota/zone/"
	ownersKey  = "quota/owners"
)

// Intervals of the look at the store.
const (
	syncPause     = 250 * time.Millisecond
	zoneInterval  = 5 * time.Second
	ownerInterval = time.Second
	maxRetryPause = 8 * time.Second
)

// Sync keeps the shares of an entry in step with the store.
type Sync struct {
	Store  store.Client
	Loop   *control.Loop
	Driver *Driver
	Now    control.Clock
	Log    zerolog.Logger
	Zone   string
	// Cede asks another entry of the zone for some of its reserved shares.
	Cede func(ctx context.Context, incarnation string)
	// Failures counts calls of the store that failed.
	Failures metrics.Counter

	listed atomic.Pointer[Listed]
}

// SetListed takes the platform's list of instances.
func (s *Sync) SetListed(instances []string) {
	listed := make(Listed, len(instances))
	for _, instance := range instances {
		listed[instance] = true
	}
	s.listed.Store(&listed)
}

func (s *Sync) list() Listed {
	if listed := s.listed.Load(); listed != nil {
		return *listed
	}
	return nil
}

// duty is one record that is looked at from time to time.
type duty struct {
	due      func() bool
	run      func(ctx context.Context) error
	interval time.Duration
	nextAt   time.Time
	pause    time.Duration
}

// Run looks at the records until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	duties := []*duty{
		{due: func() bool { return s.Driver.core.WantsZone(s.Now()) }, run: s.syncZone, interval: syncPause},
		{due: func() bool { return s.Driver.core.LeadsZone() }, run: s.syncZone, interval: zoneInterval},
		{due: func() bool { return s.Driver.core.LeadsOwners() }, run: s.syncOwners, interval: ownerInterval},
	}
	for ctx.Err() == nil {
		for _, d := range duties {
			s.attend(ctx, d)
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncPause):
		}
	}
}

// attend runs a duty that is due. Failures stretch its interval.
func (s *Sync) attend(ctx context.Context, d *duty) {
	if s.Now().Before(d.nextAt) {
		return
	}
	due := false
	if s.Loop.Call(ctx, func() { due = d.due() }) != nil || !due {
		return
	}
	d.nextAt = s.Now().Add(d.interval)
	if err := d.run(ctx); err != nil {
		d.pause = min(maxRetryPause, max(syncPause, 2*d.pause))
		d.nextAt = s.Now().Add(max(d.pause, d.interval))
		s.Failures.Inc(1)
		s.Log.Debug().Err(err).Msg("quota records are not in step with the store")
		return
	}
	d.pause = 0
}

// Release gives up all shares and writes that once.
func (s *Sync) Release(ctx context.Context) {
	err := s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) { core.Release(now) })
	})
	if err == nil {
		err = s.syncZone(ctx)
	}
	if err == nil {
		err = s.syncOwners(ctx)
	}
	s.Log.Info().Err(err).Msg("quota shares released")
}

// read returns a record and its revision; a key that does not exist has the
// zero record.
func (s *Sync) read(ctx context.Context, key string, record any) (uint64, error) {
	entry, err := s.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := msgpack.Unmarshal(entry.Value, record); err != nil {
		return 0, &RecordMalformedError{Key: key, Cause: err}
	}
	return entry.Revision, nil
}

func (s *Sync) write(ctx context.Context, key string, revision uint64, record any) error {
	value, err := msgpack.Marshal(record)
	if err != nil {
		return &RecordMalformedError{Key: key, Cause: err}
	}
	_, err = s.Store.CompareAndSet(ctx, store.Write{Key: key, Value: value, Expect: revision})
	return err
}

func (s *Sync) syncZone(ctx context.Context) error {
	var record ZoneRecord
	readAt := s.Now()
	revision, err := s.read(ctx, zonePrefix+s.Zone, &record)
	if err != nil {
		return err
	}
	var plan ZonePlan
	listed := s.list()
	err = s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) { plan = core.PlanZone(now, readAt, record, listed) })
	})
	if err != nil {
		return err
	}
	if plan.Write {
		if err := s.write(ctx, zonePrefix+s.Zone, revision, plan.Record); err != nil {
			return err
		}
	}
	return s.zoneStored(ctx, plan)
}

func (s *Sync) zoneStored(ctx context.Context, plan ZonePlan) error {
	var needsCheck bool
	holder := ""
	err := s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) {
			core.ZoneStored(now, plan)
			needsCheck = core.NeedsCheck()
			holder = core.WantCede(now, plan.Record)
		})
	})
	if err != nil {
		return err
	}
	if holder != "" {
		s.Cede(ctx, holder)
	}
	if needsCheck {
		return s.checkZones(ctx)
	}
	return nil
}

func (s *Sync) checkZones(ctx context.Context) error {
	entries, err := s.Store.List(ctx, zonePrefix)
	if err != nil {
		return err
	}
	records := make([]ZoneRecord, len(entries))
	for i, entry := range entries {
		if err := msgpack.Unmarshal(entry.Value, &records[i]); err != nil {
			return &RecordMalformedError{Key: zonePrefix + strings.TrimPrefix(entry.Key, zonePrefix), Cause: err}
		}
	}
	return s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) { core.CheckZones(now, records) })
	})
}

func (s *Sync) syncOwners(ctx context.Context) error {
	var table OwnerTable
	readAt := s.Now()
	revision, err := s.read(ctx, ownersKey, &table)
	if err != nil {
		return err
	}
	var plan OwnerPlan
	listed := s.list()
	err = s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) { plan = core.PlanOwners(now, readAt, table, listed) })
	})
	if err != nil {
		return err
	}
	if plan.Write {
		if err := s.write(ctx, ownersKey, revision, plan.Table); err != nil {
			return err
		}
	}
	return s.Loop.Call(ctx, func() {
		s.Driver.Change(func(now time.Time, core *Core) { core.OwnersStored(now, plan) })
	})
}
