package connections

import (
	"time"

	"rattantrack.dev/core/clock"
)

// unusedTime is how long a connection may be open without a byte before it goes first.
const unusedTime = time.Second

// Connection is what is known of an open connection.
type Connection struct {
	// Serving reports that a complete request has been received and is not answered yet.
	Serving bool
	// Served reports that a complete request has been received before.
	Served bool
	// LastRead is when the last byte was received, or when the connection was accepted.
	LastRead clock.Instant
}

// Victim returns the index of the connection to close, -1 if all are serving requests. A connection that has brought no request goes
// before one that has, and then the one that has been quiet for longest.
func Victim(now clock.Instant, list []Connection) int {
	found := -1
	for i, c := range list {
		if c.Serving {
			continue
		}
		if found < 0 || goesBefore(now, c, list[found]) {
			found = i
		}
	}
	return found
}

func goesBefore(now clock.Instant, a, b Connection) bool {
	if unusedA, unusedB := isUnused(now, a), isUnused(now, b); unusedA != unusedB {
		return unusedA
	}
	return a.LastRead.Before(b.LastRead)
}

// isUnused reports whether a connection has brought no request so far and sends nothing.
func isUnused(now clock.Instant, c Connection) bool {
	return !c.Served && now.Sub(c.LastRead) >= unusedTime
}
