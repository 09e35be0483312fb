package directory

import (
	"fmt"
	"time"

	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Position is a point in the history of the platform's directory.
type Position uint64

// Update is what a read or a watch of the directory returned.
type Update struct {
	// Position is the position up to which the update is complete.
	Position Position
	// Declarations is the newest version, nil where it did not change.
	Declarations *settings.Declarations
	Revision     settings.Revision
	// Complete says that Instances are all there are and not only those that changed.
	Complete  bool
	Instances []members.Change
	// Invalid are the entries that could not be read.
	Invalid []InvalidEntryError
}

// InvalidEntryError reports an entry of the directory that could not be read.
type InvalidEntryError struct {
	Key    string
	Reason string
}

func (e *InvalidEntryError) Error() string { return fmt.Sprintf("entry %q: %s", e.Key, e.Reason) }

// HistoryLostError reports a watch whose position is older than the history that is kept.
type HistoryLostError struct {
	After Position
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the history after %d is no longer kept", e.After)
}

// UnavailableError reports a directory that did not answer a call.
type UnavailableError struct {
	Call   string
	Status int
	// RetryAfter is the pause that the directory asked for, 0 for none.
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("%s answered %d", e.Call, e.Status) }
