package dispatch

// Budget bounds retries to a share of the traffic, so that retries never bury
// a pool that is slow already. It is not safe for concurrent use.
type Budget struct {
	share, burst, tokens float64
}

// NewBudget returns a budget of share retries for each request, saved up to
// burst retries.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Request counts a first offer.
func (b *Budget) Request() { b.tokens = min(b.burst, b.tokens+b.share) }

// Take takes one retry; false when the budget is spent.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
