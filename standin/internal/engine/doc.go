// Package engine simulates a model engine for tests, benchmarks and the demo.
package engine
