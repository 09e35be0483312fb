// Package ticket issues and checks the tickets that let a caller repeat a call that must run at most once.
package ticket
