// Package ticket issues and checks idempotency tickets, with which a caller can safely retry a call that must run at
// most once.
package ticket
