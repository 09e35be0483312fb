package members

import (
	"cmp"
	"slices"

	"rattantrack.dev/core/settings"
)

// Status is the state of one instance in a dump.
type Status struct {
	ID         settings.UpstreamID  `json:"id"`
	Service    settings.ServiceName `json:"service"`
	Address    string               `json:"address"`
	DataCentre settings.DataCentre  `json:"data_centre"`
	Draining   bool                 `json:"draining,omitempty"`
	Missing    bool                 `json:"missing,omitempty"`
	// Revision is the directory's own number in the era.
	Revision uint64 `json:"revision"`
	Era      Era    `json:"era"`
}

// String returns the registry's name in dumps.
func (r *Registry) String() string { return "members" }

// Dump returns the instances, sorted by id.
func (r *Registry) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, 0, len(r.entries))
	for id, e := range r.entries {
		instance := e.instance
		list = append(list, Status{
			ID: id, Service: instance.Service, Address: instance.Address, DataCentre: instance.DataCentre,
			Draining: instance.Draining, Missing: e.missingUntil != 0,
			Revision: e.revision.Number(), Era: e.revision.Era(),
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
