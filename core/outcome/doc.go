// Package outcome decides what a side may run and which outcome it may report: it withdraws attempts, runs an
// idempotency key at most once, and confirms as a key's primary that the key has no earlier run.
package outcome
