package allowance

import (
	"sync"
)

// RetryOptions limit the retries at an upstream, over all instances, in any window.
type RetryOptions struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Burst is the number of retries in a window in addition to the ratio.
	Burst float64
}

// Fractions of the limits that are used. A saved retry counts in the window in which it
// is made, so all saved retries must fit into the burst.
const (
	ratioFraction = 0.85
	burstFraction = 0.6
)

// RetryBudget holds the retries left to this instance, by upstream. It is safe for
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

// SetOptions changes the limits.
func (b *RetryBudget) SetOptions(options RetryOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = options
}

// SetInstances sets the number of instances that share the burst.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// RecordFirstAttempt counts a first attempt, which adds a fraction of a retry to the
// budget.
func (b *RetryBudget) RecordFirstAttempt(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := burstFraction * b.options.Burst / float64(b.instances)
	b.tokens[upstream] = min(b.tokens[upstream]+ratioFraction*b.options.Ratio, max(limit, 1))
}

// TakeRetry takes a retry from the budget. It returns false if none is left.
func (b *RetryBudget) TakeRetry(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[upstream] < 1 {
		return false
	}
	b.tokens[upstream]--
	return true
}
