package directory

import (
	"fmt"
	"time"

	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Position is a point in the history of the platform's directory.
type Position struct {
	Era    members.Era
	Number uint64
}

// Revision returns the position as the revision of an entry that was written at it.
func (p Position) Revision() members.Revision { return members.NewRevision(p.Era, p.Number) }

// Update is the result of a read or a watch of the directory.
type Update struct {
	// Position is the point up to which the update is complete.
	Position Position
	// Declarations is the newest version, nil if it has not changed. Revision is its revision.
	Declarations *settings.Declarations
	Revision     settings.Revision
	// Complete is set if Instances and Evacuations hold all entries and not only the changed ones.
	Complete    bool
	Instances   []members.Change
	Evacuations []evacuation.Change
	// Invalid holds the entries that could not be decoded.
	Invalid []InvalidEntryError
}

// InvalidEntryError reports an entry of the directory that could not be decoded.
type InvalidEntryError struct {
	Key    string
	Reason string
}

func (e *InvalidEntryError) Error() string { return fmt.Sprintf("entry %q: %s", e.Key, e.Reason) }

// HistoryLostError reports a watch from a position that is older than the history that the directory keeps.
type HistoryLostError struct {
	After Position
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the history after %v is no longer available", e.After.Revision())
}

// RestoredError reports that the directory was restored from an older copy during a read or since the position of a watch.
type RestoredError struct {
	// Before is the era that was expected, Now that of the response.
	Before, Now members.Era
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("the directory was restored: era %d, not %d", e.Now, e.Before)
}

// StatusError reports a response of the directory with a status other than 200.
type StatusError struct {
	Call   string
	Status int
	// RetryAfter is the pause that the directory requested, 0 if none.
	RetryAfter time.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s returned status %d", e.Call, e.Status)
}
