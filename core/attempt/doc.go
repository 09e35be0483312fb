// Package attempt decides what follows when an attempt ends: another attempt, which may resume a stream, or the final result.
package attempt
