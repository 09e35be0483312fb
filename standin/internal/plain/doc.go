// Package plain simulates a plain HTTP service that records every run of a call, for tests and the demo.
package plain
