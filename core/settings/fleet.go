package settings

import "time"

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Priority is the class in which a request waits for an engine.
type Priority string

// The classes, most urgent first.
const (
	PriorityUrgent  Priority = "urgent"
	PriorityNormal  Priority = "normal"
	PriorityPatient Priority = "patient"
)

// Priorities lists the classes, most urgent first.
var Priorities = []Priority{PriorityUrgent, PriorityNormal, PriorityPatient}

// Profile describes how one kind of request is treated.
type Profile struct {
	Description string        `json:"description" yaml:"description"`
	Service     ServiceName   `json:"service" yaml:"service"`
	Priority    Priority      `json:"priority" yaml:"priority"`
	Deadline    time.Duration `json:"deadline" yaml:"deadline"`
	Idempotent  bool          `json:"idempotent" yaml:"idempotent"`
	Retries     int           `json:"retries" yaml:"retries"`
	// ExpectedTokens is the answer length assumed until the profile's own answers have taught better.
	ExpectedTokens Tokens `json:"expected_tokens" yaml:"expected_tokens"`
}

// Service describes a model or a plain service.
type Service struct {
	Description string      `json:"description" yaml:"description"`
	Kind        ServiceKind `json:"kind" yaml:"kind"`
	Model       string      `json:"model" yaml:"model"`
	// Multiple bounds the load that one engine carries, as a multiple of the mean.
	Multiple float64 `json:"multiple" yaml:"multiple"`
	// MaxRunning is the number of requests one upstream runs at a time.
	MaxRunning int `json:"max_running" yaml:"max_running"`
	// MaxQueued is the number of requests one side keeps waiting.
	MaxQueued int `json:"max_queued" yaml:"max_queued"`
	// KeyLifetime is how long a side remembers the outcome of an idempotency key or ticket.
	KeyLifetime time.Duration `json:"key_lifetime" yaml:"key_lifetime"`
	// PrefillRate is the prompt tokens one engine processes a second.
	PrefillRate Tokens `json:"prefill_rate" yaml:"prefill_rate"`
	// DecodeRate is the answer tokens one stream gets a second.
	DecodeRate Tokens `json:"decode_rate" yaml:"decode_rate"`
	// CacheTokens is the size of one engine's prefix cache.
	CacheTokens Tokens `json:"cache_tokens" yaml:"cache_tokens"`
	// KVTransfer says that the engines export and import KV cache.
	KVTransfer bool `json:"kv_transfer" yaml:"kv_transfer"`
	// MaxConnections is the number of connections that one upstream takes from all routers together, 0 for no bound.
	MaxConnections int `json:"max_connections,omitempty" yaml:"max_connections,omitempty"`
}

// Upstream declares one upstream and the address of its side process.
type Upstream struct {
	Service    ServiceName `json:"service" yaml:"service"`
	DataCentre DataCentre  `json:"data_centre" yaml:"data_centre"`
	Side       string      `json:"side" yaml:"side"`
	// Destroyed is the operators' word that the VM no longer exists and cannot wake again.
	Destroyed bool `json:"destroyed" yaml:"destroyed"`
}

// Team declares a team of callers.
type Team struct {
	Description string `json:"description" yaml:"description"`
	// Share weighs the team's part of a busy engine.
	Share int `json:"share" yaml:"share"`
	// MaxOpen is the number of requests the team may have open at one router.
	MaxOpen int `json:"max_open" yaml:"max_open"`
	// Keys are the digests of the API keys that identify the team's clients.
	Keys []KeyDigest `json:"keys,omitempty" yaml:"keys,omitempty"`
	// Rank takes precedence over the rank of a route, where it is set.
	Rank *int `json:"rank,omitempty" yaml:"rank,omitempty"`
}

// Declarations is one whole set of declarations.
type Declarations struct {
	Profiles  map[ProfileName]Profile `yaml:"profiles"`
	Services  map[ServiceName]Service `yaml:"services"`
	Upstreams map[UpstreamID]Upstream `yaml:"upstreams"`
	Teams     map[TeamID]Team         `yaml:"teams"`
	// Routes and Limits serve clients that are routed by host and path.
	Routes map[RouteName]Route         `yaml:"routes"`
	Limits map[LimitsName]ClientLimits `yaml:"limits"`
}

// LimitsName names a set of limits; ClientLimitsName is the one in use.
type LimitsName string

// ClientLimitsName is the name under which the limits for clients are declared.
const ClientLimitsName LimitsName = "clients"

// ClientLimits returns the limits in force.
func (f *Declarations) ClientLimits() ClientLimits {
	return defaultClientLimits(f.Limits[ClientLimitsName])
}

// UpstreamsOf returns the declared upstreams of a service that are not destroyed, in no particular order.
func (f *Declarations) UpstreamsOf(name ServiceName) []UpstreamID {
	return f.upstreamsOf(name, false)
}

// DestroyedOf returns the declared upstreams of a service whose VMs no longer exist.
func (f *Declarations) DestroyedOf(name ServiceName) []UpstreamID {
	return f.upstreamsOf(name, true)
}

func (f *Declarations) upstreamsOf(name ServiceName, destroyed bool) []UpstreamID {
	var ids []UpstreamID
	for id, u := range f.Upstreams {
		if u.Service == name && u.Destroyed == destroyed {
			ids = append(ids, id)
		}
	}
	return ids
}
