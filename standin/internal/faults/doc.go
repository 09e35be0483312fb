// Package faults lets a test switch the faults of a stand-in by a call.
package faults
