// Package fleet starts a small fleet of real processes on loopback for tests and the demo.
package fleet
