package handover

import (
	"sync"
	"time"
)

// maxAvoided bounds the remembered entries; above it the list starts anew.
const maxAvoided = 10_000

// avoided remembers entries that could not take a call.
type avoided struct {
	mu    sync.Mutex
	until map[avoidedKey]time.Time
}

// avoidedKey names an entry for one service, or for all with service "".
type avoidedKey struct{ incarnation, service string }

func (a *avoided) add(key avoidedKey, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil || len(a.until) >= maxAvoided {
		a.until = make(map[avoidedKey]time.Time)
	}
	a.until[key] = until
}

func (a *avoided) has(now time.Time, incarnation, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[avoidedKey{incarnation, service}]) || now.Before(a.until[avoidedKey{incarnation, ""}])
}
