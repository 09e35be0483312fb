// Package outcome decides what a side may run and what it may say of it: attempts that must never start,
// idempotency keys that run at most once, and the homes that can vouch for a key.
package outcome
