// Package engine is a small stand-in for a model engine, for tests and the demo only.
package engine
