package settings

import "time"

// Defaults of the declarations.
const (
	DefaultDeadline       = 60 * time.Second
	DefaultExpectedTokens = Tokens(200)
	DefaultMultiple       = 1.25
	DefaultMaxRunning     = 16
	DefaultMaxQueued      = 64
	DefaultKeyLifetime    = 10 * time.Minute
	DefaultPrefillRate    = Tokens(4000)
	DefaultDecodeRate     = Tokens(30)
	DefaultCacheTokens    = Tokens(600_000)
	DefaultShare          = 1
	DefaultMaxOpen        = 1024
)

// SetDefaults sets every field that the operators left out to its default.
func (d *Declarations) SetDefaults() {
	for name, p := range d.Profiles {
		d.Profiles[name] = defaultProfile(p)
	}
	for name, s := range d.Services {
		d.Services[name] = defaultService(s)
	}
	for id, t := range d.Teams {
		d.Teams[id] = defaultTeam(t)
	}
	for name, r := range d.Routes {
		d.Routes[name] = defaultRoute(r)
	}
	for name, l := range d.Limits {
		d.Limits[name] = defaultClientLimits(l)
	}
}

func defaultProfile(p Profile) Profile {
	setDefault(&p.Priority, PriorityNormal)
	setDefault(&p.Deadline, DefaultDeadline)
	setDefault(&p.ExpectedTokens, DefaultExpectedTokens)
	return p
}

func defaultService(s Service) Service {
	setDefault(&s.Multiple, DefaultMultiple)
	setDefault(&s.MaxRunning, DefaultMaxRunning)
	setDefault(&s.MaxQueued, DefaultMaxQueued)
	setDefault(&s.KeyLifetime, DefaultKeyLifetime)
	setDefault(&s.PrefillRate, DefaultPrefillRate)
	setDefault(&s.DecodeRate, DefaultDecodeRate)
	setDefault(&s.CacheTokens, DefaultCacheTokens)
	return s
}

func defaultTeam(t Team) Team {
	setDefault(&t.Share, DefaultShare)
	setDefault(&t.MaxOpen, DefaultMaxOpen)
	return t
}

// setDefault assigns value to a setting that still has its zero value.
func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
