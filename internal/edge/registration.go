package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/fleet"
	"lovagescale/internal/store"
)

// Times of an instance's registration in the store.
const (
	// registrationTTL is how long a registration stays in the store after its last
	// renewal. It is not longer than fleet.ForgottenAfter, so that it does not delay the
	// moment when an instance that died is forgotten.
	registrationTTL = fleet.ForgottenAfter
	// renewInterval is the interval of the renewals.
	renewInterval = 3500 * time.Millisecond
	// registrationRetryPause is the pause after a failed call to the store.
	registrationRetryPause = time.Second
	// endRegistrationTimeout bounds the call that ends the registration at a planned
	// stop.
	endRegistrationTimeout = 500 * time.Millisecond
)

// keepRegistered keeps the instance registered until ctx ends or the instance is leaving,
// then ends the registration.
func (e *Edge) keepRegistered(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil && !e.leaving.Load() {
		var err error
		if lease == "" {
			lease, err = e.createRegistration(ctx)
		} else {
			err = e.ports.Registrar.Renew(ctx, lease)
		}
		var lapsed *store.LeaseLapsedError
		switch {
		case err == nil:
			if e.eraBegunWithin(ctx, jitter(renewInterval)) {
				lease = "" // it is from before the store's copy, which may have given its number out again
			}
		case errors.As(err, &lapsed):
			lease = ""
			e.log.Warn().Err(err).Msg("registration has lapsed")
		default:
			e.log.Warn().Err(err).Msg("registration is not renewed")
			if e.eraBegunWithin(ctx, jitter(registrationRetryPause)) {
				lease = ""
			}
		}
	}
	e.endRegistration(ctx, lease)
}

// eraBegunWithin waits until the store begins a new era, and reports whether it does. It
// waits no longer than wait.
func (e *Edge) eraBegunWithin(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.eraBegun:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// createRegistration writes the registration with a new lease.
func (e *Edge) createRegistration(ctx context.Context) (store.LeaseID, error) {
	self := e.state.fleet.Self() // immutable, so safe outside of the control loop
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
	e.log.Info().Str("lease", string(lease)).Msg("instance registered")
	return lease, nil
}

// endRegistration ends the registration. If the store cannot be reached, the registration
// expires with its lease.
func (e *Edge) endRegistration(ctx context.Context, lease store.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endRegistrationTimeout)
	defer cancel()
	if err := e.ports.Registrar.End(ctx, lease); err != nil {
		e.log.Warn().Err(err).Msg("registration is left to lapse")
	}
}
