package app

import (
	"rattantrack.dev/core/members"
)

// applyMemberEvents logs changes of instances and discards the state of instances that were removed, restarted or are
// draining.
func (d *Direct) applyMemberEvents(source string, events []members.Event) {
	d.origins.Apply(events)
	for _, e := range events {
		d.log.Info("instance", "upstream", e.ID, "change", e.Kind, "service", e.Instance.Service, "version", e.Instance.Version,
			"address", e.Instance.Address, "entry_revision", e.Revision, "source", source)
		switch e.Kind {
		case members.EventRemoved:
			d.connections.Forget(e.Instance)
			d.affinity.Forget(e.ID)
			d.outliers.Forget(e.ID)
			d.unresponsive.Forget(e.ID)
			d.rateLimits.Forget(e.ID)
			d.cold.Forget(e.ID)
		case members.EventRestarted:
			d.affinity.Forget(e.ID)
			d.outliers.Forget(e.ID)
			d.unresponsive.Forget(e.ID)
			d.rateLimits.Forget(e.ID)
		case members.EventDraining:
			d.connections.Forget(e.Instance)
		}
	}
}

// recordLeaving stops the use of an upstream that has stated in an answer that it is leaving, and passes it on to the other
// routers.
func (d *Direct) recordLeaving(inst members.Instance) {
	events := d.members.MarkLeaving(inst)
	if len(events) == 0 {
		return
	}
	d.metrics.Scope.Counter("upstreams_leaving").Inc(1)
	d.applyMemberEvents("answer", events)
	d.routers.Broadcast(members.ChangesOf(events))
}
