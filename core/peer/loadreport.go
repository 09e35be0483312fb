package peer

import (
	"time"

	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// LoadReport sends a router's counts of open requests to the relay of its data centre or, from one relay to another, the sums of
// a data centre. The reply is LoadTotals.
type LoadReport struct {
	Router     inflight.RouterID
	DataCentre settings.DataCentre
	// Sum reports that Open holds the sums over the sender's data centre and not its own counts alone.
	Sum  bool
	Open inflight.Packed
	// DirectoryAge is the time since the sender or, with Sum, a router of its data centre read the platform's directory.
	DirectoryAge time.Duration
}

// Kind returns KindLoadReport.
func (*LoadReport) Kind() Kind { return KindLoadReport }

// LoadTotals is the reply to LoadReport. For a relay of another data centre it holds the sums over the replier's data centre, and
// for a router of the same one the sums over all routers but that one.
type LoadTotals struct {
	DataCentre settings.DataCentre
	Open       inflight.Packed
	// DirectoryAge is the time since one of the routers in Open read the platform's directory.
	DirectoryAge time.Duration
}

// Kind returns KindLoadTotals.
func (*LoadTotals) Kind() Kind { return KindLoadTotals }
