package routing

import "sync/atomic"

// Amounts of a retry budget in thousandths of a retry.
const (
	retryCost      = 1000
	budgetCapacity = 10 * retryCost
)

// budget bounds retries and hedges to a share of first tries. It starts full.
type budget struct {
	earned int64
	amount atomic.Int64
}

func newBudget(share float64) *budget {
	b := &budget{earned: int64(max(share, 0) * retryCost)}
	if share > 0 {
		b.amount.Store(budgetCapacity)
	}
	return b
}

// earn adds what one first try earns.
func (b *budget) earn() {
	if b.amount.Add(b.earned) > budgetCapacity {
		b.amount.Store(budgetCapacity)
	}
}

// refund gives back a retry that was not made.
func (b *budget) refund() { b.amount.Add(retryCost) }

// spend takes one retry, if there is one.
func (b *budget) spend() bool {
	if b.amount.Add(-retryCost) < 0 {
		b.amount.Add(retryCost)
		return false
	}
	return true
}
