package quotapool

import (
	"slices"
	"sync"
	"time"

	"lovagescale/internal/fleet"
)

const (
	// prefetchTime is the time for whose demand an instance borrows tokens ahead. A request
	// then waits for no other instance, whose link may be busy with large answers.
	prefetchTime = 250 * time.Millisecond
	// cachedLifetime is how long a token may stay unspent. It is short, because a window of
	// the quota may hold that much more than was lent in it.
	cachedLifetime = 500 * time.Millisecond
	// maxBatch bounds the tokens of one loan.
	maxBatch = 32
)

// BatchSize returns the number of tokens to borrow at once for a workspace with the given
// demand on this instance, in requests per second.
func BatchSize(demand float64) int {
	return min(max(int(demand*prefetchTime.Seconds()), 1), maxBatch)
}

// TokenCache holds tokens that this instance borrowed ahead, by workspace. It is safe for
// concurrent use.
type TokenCache struct {
	mu     sync.Mutex
	tokens map[string][]cachedToken
	// refilling are the workspaces for which a loan is under way.
	refilling map[string]bool
}

type cachedToken struct {
	loan Loan
	// until is when the token goes back to its lender.
	until time.Time
}

// NewTokenCache returns a cache without tokens.
func NewTokenCache() *TokenCache {
	return &TokenCache{tokens: make(map[string][]cachedToken), refilling: make(map[string]bool)}
}

// Take takes the token of the workspace that was put first, of those that have not expired.
// It returns false if there is none.
func (s *TokenCache) Take(now time.Time, workspace string) (Loan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := s.tokens[workspace]
	for i, token := range tokens {
		if now.Before(token.until) {
			s.tokens[workspace] = slices.Delete(tokens, i, i+1)
			return token.loan, true
		}
	}
	return Loan{}, false
}

// Holds reports whether there are tokens of the workspace.
func (s *TokenCache) Holds(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens[workspace]) > 0
}

// Put stores tokens of a loan. A token that was lent cachedLifetime ago only waits to be
// returned.
func (s *TokenCache) Put(workspace string, loan Loan, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		s.tokens[workspace] = append(s.tokens[workspace], cachedToken{loan: loan, until: loan.LentAt.Add(cachedLifetime)})
	}
}

// BeginRefill returns the number of tokens to borrow if fewer than half of a batch are
// left and no loan is under way, otherwise 0. The caller must then call EndRefill.
func (s *TokenCache) BeginRefill(workspace string, demand float64) int {
	batch := BatchSize(demand)
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch <= 1 || s.refilling[workspace] || len(s.tokens[workspace]) > batch/2 {
		return 0
	}
	s.refilling[workspace] = true
	return batch
}

// EndRefill ends what BeginRefill began.
func (s *TokenCache) EndRefill(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refilling, workspace)
}

// LoanReturn gives tokens back to the instance that lent them.
type LoanReturn struct {
	// Lender is empty if this instance lent the tokens.
	Lender fleet.Member
	fleet.Return
}

// TakeExpired removes the tokens that stayed unspent and returns them, with the tokens of
// one period together.
func (s *TokenCache) TakeExpired(now time.Time) []LoanReturn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var returns []LoanReturn
	for workspace, tokens := range s.tokens {
		kept := tokens[:0]
		for _, token := range tokens {
			if now.Before(token.until) {
				kept = append(kept, token)
				continue
			}
			returns = addReturn(returns, workspace, token.loan)
		}
		s.tokens[workspace] = kept
		if len(kept) == 0 {
			delete(s.tokens, workspace)
		}
	}
	return returns
}

func addReturn(returns []LoanReturn, workspace string, loan Loan) []LoanReturn {
	if loan.Token.Period == 0 {
		return returns // lent by a build that takes no tokens back
	}
	for i := range returns {
		r := &returns[i]
		if r.Workspace == workspace && r.Token == loan.Token && r.Lender.Instance == loan.Lender.Instance {
			r.Count++
			return returns
		}
	}
	return append(returns, LoanReturn{loan.Lender, fleet.Return{Workspace: workspace, Token: loan.Token, Count: 1}})
}

// Clear drops all tokens without returning them: after a pause of the process their
// lenders count them as spent long ago.
func (s *TokenCache) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.tokens)
}
