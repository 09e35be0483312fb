package peer

import (
	"rattantrack.dev/core/settings"
)

// Exchange carries one side's load and its estimate of the mean to another side of the same service.
type Exchange struct {
	Side    settings.UpstreamID
	Service settings.ServiceName
	Load    float32
	Mean    float32
	// Known says that Mean can be used.
	Known bool
}

// Kind returns KindExchange.
func (*Exchange) Kind() Kind { return KindExchange }
