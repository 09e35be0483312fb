package routers

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/router/internal/exchange"
)

// evacuationSection is the exchange of evacuated data centres. There are few, so their changes are sent as the complete list.
type evacuationSection struct{ s *Service }

func (x evacuationSection) ID() peer.SectionID { return peer.SectionEvacuations }
func (x evacuationSection) Name() string       { return "evacuations" }

func (x evacuationSection) Version() peer.StateVersion {
	return peer.StateVersion(x.s.Evacuations.Version()) + 1
}

func (x evacuationSection) Urgent() peer.StateVersion { return x.Version() }

func (x evacuationSection) Digest() uint64 {
	digest := uint64(1)
	for _, c := range x.s.Evacuations.Changes(x.s.Clock.Now()) {
		n := uint64(c.Revision) << 1
		if c.Evacuated {
			n++
		}
		digest += digestOf(string(c.DataCentre), n)
	}
	return digest
}

func (x evacuationSection) Resume(clock.Instant) peer.StateVersion { return x.Version() }

func (x evacuationSection) Since(now clock.Instant, after peer.StateVersion, _ string) (exchange.Changes, bool) {
	if to := x.Version(); after == to {
		return exchange.Changes{To: to}, true
	}
	return x.Full(now, 0), true
}

func (x evacuationSection) Bulky() bool { return false }

func (x evacuationSection) Full(now clock.Instant, _ uint64) exchange.Changes {
	// The version is read before the state, so that a change in between is sent twice and not never.
	to := x.Version()
	list := x.s.Evacuations.Changes(now)
	if len(list) == 0 {
		return exchange.Changes{To: to}
	}
	return exchange.Changes{To: to, Data: encode(list)}
}

func (x evacuationSection) Apply(now clock.Instant, sender string, part peer.StateSection) error {
	var list []evacuation.Change
	if err := decode(part.Data, &list); err != nil {
		return err
	}
	if changes := x.s.Evacuations.Apply(now, list); len(changes) > 0 {
		x.s.OnEvacuations(sender, changes)
	}
	return nil
}
