package settings

// ProfileName names a profile.
type ProfileName string

// ServiceName names a model or a plain service.
type ServiceName string

// UpstreamID names one upstream and the side process beside it.
type UpstreamID string

// TeamID names a team of callers.
type TeamID string

// DataCentre names a data centre.
type DataCentre string

// Tokens is a number of model tokens, the unit of work.
type Tokens float64
