package retry

import "sync"

// Bounds of a budget.
const (
	// Share is the number of retries that one first attempt earns.
	Share = 0.1
	// maxSaved bounds the retries saved in quiet times.
	maxSaved = 10.0
)

// Budget is a token bucket filled by first attempts; its zero value has room for a few retries.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-Share)
}

// Allow reports whether a retry may be made, and counts it.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxSaved {
		return false
	}
	b.spent++
	return true
}
