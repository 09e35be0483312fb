package app

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/settings"
)

// recordEvacuations logs evacuations of data centres and their ends.
func (d *Direct) recordEvacuations(source string, changes []evacuation.Change) {
	for _, c := range changes {
		message := "data centre evacuated"
		if !c.Evacuated {
			message = "data centre taken back"
		}
		d.metrics.Scope.Tagged(map[string]string{"evacuated": yesNo(c.Evacuated)}).Counter("evacuation_changes").Inc(1)
		d.log.Info(message, "data_centre", c.DataCentre, "order_revision", c.Revision, "source", source)
	}
}

// evacuations exposes the orders to evacuate data centres as a Dumper.
type evacuations struct {
	tracker *evacuation.Tracker
}

// evacuationStatus is the state of one data centre in a dump.
type evacuationStatus struct {
	DataCentre settings.DataCentre `json:"data_centre"`
	Evacuated  bool                `json:"evacuated"`
	Revision   string              `json:"revision"`
	// SinceMS is the time since the first router learnt of the state.
	SinceMS int64 `json:"since_ms_ago"`
}

// String returns the name in dumps.
func (e *evacuations) String() string { return "evacuations" }

// Dump returns the data centres that are evacuated or were taken back.
func (e *evacuations) Dump() any {
	list := []evacuationStatus{}
	for _, c := range e.tracker.Changes(clock.Boot{}.Now()) {
		list = append(list, evacuationStatus{
			DataCentre: c.DataCentre, Evacuated: c.Evacuated, Revision: c.Revision.String(), SinceMS: c.Age.Milliseconds(),
		})
	}
	return list
}
