package allowance

import (
	"sync"
)

// RetryOptions bound the tries beyond the first ones to an upstream, over all
// instances, in any window.
type RetryOptions struct {
	// Ratio is the further tries for each first one.
	Ratio float64
	// Burst is the further tries in a window beside the ratio.
	Burst float64
}

// Parts of the bound that are spent. Saved tries count in the window in which
// they are spent, so that all of them must fit the burst.
const (
	ratioPart = 0.85
	burstPart = 0.6
)

// RetryBudget holds this instance's further tries by upstream. It is safe for
// concurrent use.
type RetryBudget struct {
	options   RetryOptions
	mu        sync.Mutex
	instances int
	tokens    map[string]float64
}

// NewRetryBudget returns a budget without tokens.
func NewRetryBudget(options RetryOptions) *RetryBudget {
	return &RetryBudget{options: options, instances: 1, tokens: make(map[string]float64)}
}

// SetOptions changes the bounds.
func (b *RetryBudget) SetOptions(options RetryOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = options
}

// SetInstances sets how many instances share the burst.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// First counts a first try and saves a part of a further one.
func (b *RetryBudget) First(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := burstPart * b.options.Burst / float64(b.instances)
	b.tokens[upstream] = min(b.tokens[upstream]+ratioPart*b.options.Ratio, max(limit, 1))
}

// Further takes a further try, or reports false when none is left.
func (b *RetryBudget) Further(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[upstream] < 1 {
		return false
	}
	b.tokens[upstream]--
	return true
}
