// Package clock gives instants on a clock that also counts the time a machine was suspended.
package clock
