package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/store"
)

// Times of an instance's registration.
const (
	// registrationTTL is how long a registration outlives its instance.
	registrationTTL = 6 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
	// registerPause is the pause after a failed call.
	registerPause = time.Second
	// endTimeout bounds the end of a registration at a planned stop.
	endTimeout = 500 * time.Millisecond
)

// register keeps the instance registered until ctx ends or it leaves.
func (e *Edge) register(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil && !e.leaving.Load() {
		var err error
		if lease == "" {
			lease, err = e.enrol(ctx)
		} else {
			err = e.ports.Registrar.Renew(ctx, lease)
		}
		var lapsed *store.LeaseLapsedError
		switch {
		case err == nil:
			sleep(ctx, jitter(renewInterval))
		case errors.As(err, &lapsed):
			lease = ""
			e.log.Warn().Err(err).Msg("registration has lapsed")
		default:
			e.log.Warn().Err(err).Msg("registration is not renewed")
			sleep(ctx, jitter(registerPause))
		}
	}
	e.resign(ctx, lease)
}

// enrol writes the registration under a new lease.
func (e *Edge) enrol(ctx context.Context) (store.LeaseID, error) {
	self := e.state.fleet.Self() // never changes
	value, err := e.ports.Entries.EncodeInstance(self)
	if err != nil {
		return "", err
	}
	lease, err := e.ports.Registrar.Grant(ctx, registrationTTL)
	if err != nil {
		return "", err
	}
	if err := e.ports.Registrar.Put(ctx, e.ports.Entries.InstanceKey(self.Instance), value, lease); err != nil {
		return "", err
	}
	e.log.Info().Str("lease", string(lease)).Msg("instance is registered")
	return lease, nil
}

// resign ends the registration; without the store it lapses.
func (e *Edge) resign(ctx context.Context, lease store.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if err := e.ports.Registrar.End(ctx, lease); err != nil {
		e.log.Warn().Err(err).Msg("registration is left to lapse")
	}
}
