// Package vmlist simulates the platform's VM list, which shows changes with a delay, for tests and the demo.
package vmlist
