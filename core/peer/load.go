package peer

import (
	"rattantrack.dev/core/settings"
)

// LoadExchange carries one side's load and its estimate of the mean load to another side of the same service.
type LoadExchange struct {
	Side    settings.UpstreamID
	Service settings.ServiceName
	Load    float32
	Mean    float32
	// MeanKnown reports whether Mean can be used.
	MeanKnown bool
}

// Kind returns KindLoadExchange.
func (*LoadExchange) Kind() Kind { return KindLoadExchange }
