// Package faults lets a test set the simulated faults of a stand-in over HTTP.
package faults
