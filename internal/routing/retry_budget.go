package routing

import "sync/atomic"

// Amounts of a retry budget, in thousandths of a retry.
const (
	retryCost           = 1000
	retryBudgetCapacity = 10 * retryCost
)

// retryBudget limits retries and hedges to a share of first attempts: each first
// attempt deposits that share of a retry, each retry or hedge withdraws a whole one.
// The budget starts full.
type retryBudget struct {
	depositAmount int64 // added by one first attempt
	balance       atomic.Int64
}

// newRetryBudget returns a budget of share retries per first attempt. With a share of
// 0 or below it is empty and stays so.
func newRetryBudget(share float64) *retryBudget {
	b := &retryBudget{depositAmount: int64(max(share, 0) * retryCost)}
	if share > 0 {
		b.balance.Store(retryBudgetCapacity)
	}
	return b
}

// deposit adds the amount for one first attempt, up to the capacity.
func (b *retryBudget) deposit() {
	if b.balance.Add(b.depositAmount) > retryBudgetCapacity {
		b.balance.Store(retryBudgetCapacity)
	}
}

// refund returns a withdrawn retry that was not made.
func (b *retryBudget) refund() { b.balance.Add(retryCost) }

// withdraw takes one retry from the budget and reports whether one was left.
func (b *retryBudget) withdraw() bool {
	if b.balance.Add(-retryCost) < 0 {
		b.balance.Add(retryCost)
		return false
	}
	return true
}
