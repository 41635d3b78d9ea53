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

// spareFraction is the fraction of the retries that can be saved which is kept for retries
// after failures. Second attempts alone could use up the ratio.
const spareFraction = 1.0 / 3

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
	b.tokens[upstream] = min(b.tokens[upstream]+ratioFraction*b.options.Ratio, b.maxTokens())
}

// maxTokens returns the number of retries that can be saved for an upstream. The caller must
// hold b.mu.
func (b *RetryBudget) maxTokens() float64 {
	return max(burstFraction*b.options.Burst/float64(b.instances), 1)
}

// TakeRetry takes a retry from the budget. It returns false if none is left.
func (b *RetryBudget) TakeRetry(upstream string) bool { return b.take(upstream, 0) }

// TakeSpareRetry takes a retry from the budget if some are left after it, for retries after
// failures. A budget that can save less than two retries must be full.
func (b *RetryBudget) TakeSpareRetry(upstream string) bool {
	return b.take(upstream, spareFraction)
}

// take takes a retry if the given fraction of the retries that can be saved is left after it.
func (b *RetryBudget) take(upstream string, left float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := b.maxTokens()
	if b.tokens[upstream] < min(1+left*most, most) {
		return false
	}
	b.tokens[upstream]--
	return true
}
