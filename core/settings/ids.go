package settings

// ProfileName names a profile, the way one kind of request is treated.
type ProfileName string

// ServiceName names a service: a model or a plain service with its upstreams.
type ServiceName string

// UpstreamID names one upstream and the side process beside it.
type UpstreamID string

// TeamID names a team of callers.
type TeamID string

// DataCentre names a data centre.
type DataCentre string

// Tokens counts model tokens, the unit of work.
type Tokens float64
