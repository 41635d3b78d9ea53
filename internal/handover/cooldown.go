package handover

import (
	"sync"
	"time"
)

// maxCooldowns limits the cooldowns that are stored. When it is reached, all are
// dropped.
const maxCooldowns = 10_000

// cooldowns holds the entries that refused or failed to take a call and are not to
// be asked again for some time.
type cooldowns struct {
	mu       sync.Mutex
	expiries map[cooldownKey]time.Time
}

// cooldownKey identifies an entry and a service. The service "" stands for all.
type cooldownKey struct{ incarnation, service string }

func (c *cooldowns) start(key cooldownKey, expiry time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiries == nil || len(c.expiries) >= maxCooldowns {
		c.expiries = make(map[cooldownKey]time.Time)
	}
	c.expiries[key] = expiry
}

func (c *cooldowns) active(now time.Time, incarnation, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.expiries[cooldownKey{incarnation, service}]) || now.Before(c.expiries[cooldownKey{incarnation, ""}])
}
