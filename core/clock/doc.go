// Package clock provides instants of a clock that includes the time during which a machine was suspended.
package clock
