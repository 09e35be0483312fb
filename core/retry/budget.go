package retry

import "sync"

// Limits of a Budget.
const (
	// retriesPerFirstAttempt is the number of retries that one first attempt adds to the budget.
	retriesPerFirstAttempt = 0.1
	// maxBurst is the number of retries that a full budget allows.
	maxBurst = 10.0
)

// Budget is a token bucket that first attempts refill; its zero value is full.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// RecordFirstAttempt records a first attempt, which adds its share of retries to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerFirstAttempt)
}

// Allow reports whether a retry may be made, and counts it if so.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxBurst {
		return false
	}
	b.spent++
	return true
}
