package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"
)

// Limits of the declared values.
const (
	maxDeadline   = time.Hour
	maxMultiple   = 10.0
	maxRetries    = 10
	maxRunning    = 100_000
	maxShare      = 1_000_000
	maxLifetime   = 24 * time.Hour
	maxTokenCount = Tokens(10_000_000)
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "1 to 63 of a-z, A-Z, 0-9, '.', '_' and '-', beginning with a letter or digit"

// checker collects the problems of a set of declarations.
type checker struct {
	problems Problems
}

func (c *checker) check(ok bool, kind, name, field string, found any, allowed string) {
	if ok {
		return
	}
	path := kind + "." + name
	if field != "" {
		path += "." + field
	}
	c.problems = append(c.problems, Problem{
		File:    kind + ".yaml",
		Field:   path,
		Found:   fmt.Sprintf("%v", found),
		Allowed: allowed,
	})
}

// Validate returns all faults in the declarations, sorted by their text.
func (d *Declarations) Validate() Problems {
	c := &checker{}
	for name, p := range d.Profiles {
		d.validateProfile(c, string(name), p)
	}
	for name, s := range d.Services {
		validateService(c, string(name), s)
	}
	for id, u := range d.Upstreams {
		d.validateUpstream(c, string(id), u)
	}
	for id, t := range d.Teams {
		validateTeam(c, string(id), t)
	}
	for name, r := range d.Routes {
		d.validateRoute(c, string(name), r)
	}
	for name, l := range d.Limits {
		validateLimits(c, string(name), l)
	}
	d.validateAddresses(c)
	return c.sorted()
}

// validateChange returns the faults that a change can have introduced into valid declarations.
func (d *Declarations) validateChange(docs []Document) Problems {
	c := &checker{}
	upstreams := false
	for _, doc := range docs {
		kind, name, _ := strings.Cut(string(doc.Key), "/")
		switch kind {
		case kindServices:
			// Profiles, upstreams and routes refer to services, so a changed service may affect all of them.
			return d.Validate()
		case kindUpstreams:
			upstreams = true
		}
		if !doc.Deleted {
			d.validateOne(c, kind, name)
		}
	}
	if upstreams {
		d.validateAddresses(c)
	}
	return c.sorted()
}

func (d *Declarations) validateOne(c *checker, kind, name string) {
	switch kind {
	case kindProfiles:
		d.validateProfile(c, name, d.Profiles[ProfileName(name)])
	case kindUpstreams:
		d.validateUpstream(c, name, d.Upstreams[UpstreamID(name)])
	case kindTeams:
		validateTeam(c, name, d.Teams[TeamID(name)])
	case kindRoutes:
		d.validateRoute(c, name, d.Routes[RouteName(name)])
	case kindLimits:
		validateLimits(c, name, d.Limits[LimitsName(name)])
	}
}

func (c *checker) sorted() Problems {
	sort.Slice(c.problems, func(i, j int) bool { return c.problems[i].String() < c.problems[j].String() })
	return c.problems
}

func validateTeam(c *checker, id string, t Team) {
	c.check(namePattern.MatchString(id), kindTeams, id, "", id, nameRule)
	c.check(t.Share >= 1 && t.Share <= maxShare, kindTeams, id, "share", t.Share, "1 to 1000000")
	c.check(t.MaxOpen >= 1, kindTeams, id, "max_open", t.MaxOpen, "at least 1")
}

func (d *Declarations) validateProfile(c *checker, name string, p Profile) {
	const kind = kindProfiles
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	_, known := d.Services[p.Service]
	c.check(known, kind, name, "service", quote(p.Service), "the name of a declared service")
	c.check(slices.Contains(Priorities, p.Priority), kind, name, "priority", quote(p.Priority), "urgent, normal or patient")
	c.check(p.Deadline > 0 && p.Deadline <= maxDeadline, kind, name, "deadline", p.Deadline, "more than 0s, at most 1h")
	c.check(p.Retries >= 0 && p.Retries <= maxRetries, kind, name, "retries", p.Retries, "0 to 10")
	c.check(p.Idempotent || p.Retries == 0, kind, name, "retries", p.Retries, "0 where idempotent is false")
	c.check(p.ExpectedTokens > 0 && p.ExpectedTokens <= maxTokenCount, kind, name, "expected_tokens", p.ExpectedTokens, "1 to 10000000")
}

func validateService(c *checker, name string, s Service) {
	const kind = kindServices
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	c.check(s.Kind == KindModel || s.Kind == KindPlain, kind, name, "kind", quote(s.Kind), "model or plain")
	c.check(s.Kind != KindModel || s.Model != "", kind, name, "model", quote(s.Model), "the engines' name of the model")
	c.check(s.Multiple > 1 && s.Multiple <= maxMultiple, kind, name, "multiple", s.Multiple, "more than 1, at most 10")
	c.check(s.MaxRunning >= 1 && s.MaxRunning <= maxRunning, kind, name, "max_running", s.MaxRunning, "1 to 100000")
	c.check(s.MaxQueued >= 1 && s.MaxQueued <= maxRunning, kind, name, "max_queued", s.MaxQueued, "1 to 100000")
	c.check(s.KeyLifetime > 0 && s.KeyLifetime <= maxLifetime, kind, name, "key_lifetime", s.KeyLifetime, "more than 0s, at most 24h")
	c.check(s.PrefillRate > 0, kind, name, "prefill_rate", s.PrefillRate, "more than 0")
	c.check(s.DecodeRate > 0, kind, name, "decode_rate", s.DecodeRate, "more than 0")
	c.check(s.CacheTokens > 0, kind, name, "cache_tokens", s.CacheTokens, "more than 0")
}

func (d *Declarations) validateUpstream(c *checker, id string, u Upstream) {
	const kind = kindUpstreams
	c.check(namePattern.MatchString(id), kind, id, "", id, nameRule)
	_, known := d.Services[u.Service]
	c.check(known, kind, id, "service", quote(u.Service), "the name of a declared service")
	_, err := netip.ParseAddrPort(u.Side)
	c.check(err == nil, kind, id, "side", quote(u.Side), "an IP number and port, such as 10.0.0.7:7400")
	c.check(namePattern.MatchString(string(u.DataCentre)), kind, id, "data_centre", quote(u.DataCentre), nameRule)
}

// validateAddresses rejects two upstreams with the same side address. The fault is that of the name that sorts later.
func (d *Declarations) validateAddresses(c *checker) {
	byAddress := make(map[string]UpstreamID, len(d.Upstreams))
	for id, u := range d.Upstreams {
		if u.Destroyed {
			continue
		}
		other, taken := byAddress[u.Side]
		if !taken {
			byAddress[u.Side] = id
			continue
		}
		byAddress[u.Side] = min(id, other)
		c.check(false, kindUpstreams, string(max(id, other)), "side", quote(u.Side), "an address of its own; "+string(min(id, other))+" has this one")
	}
}

var routeKinds = []RouteKind{RouteIdempotent, RouteOnce, RouteStream}

func (d *Declarations) validateRoute(c *checker, name string, r Route) {
	const kind = kindRoutes
	c.check(namePattern.MatchString(name), kind, name, "", name, nameRule)
	c.check(r.Host != "", kind, name, "host", quote(r.Host), "a host name")
	delimited := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/")
	c.check(delimited, kind, name, "path_prefix", quote(r.PathPrefix), "a path that begins and ends with a slash")
	c.check(slices.Contains(routeKinds, r.Kind), kind, name, "kind", quote(r.Kind), "idempotent, once or stream")
	c.check(!r.Resumable || r.Kind == RouteStream, kind, name, "resumable", r.Resumable, "false unless kind is stream")
	c.check(r.Attempts >= 1 && r.Attempts <= maxRetries, kind, name, "attempts", r.Attempts, "1 to 10")
	c.check(r.Timeout > 0 && r.Timeout <= maxDeadline, kind, name, "timeout", r.Timeout, "more than 0s, at most 1h")
	c.check(r.Rank >= 0, kind, name, "rank", r.Rank, "at least 0")
	weight := 0
	for _, b := range r.Backends {
		_, known := d.Services[b.Service]
		c.check(known, kind, name, "backends", quote(b.Service), "the name of a declared service")
		c.check(b.Weight >= 0, kind, name, "backends", b.Weight, "a weight of at least 0")
		weight += b.Weight
	}
	c.check(weight > 0, kind, name, "backends", weight, "a service with a weight above 0")
}

func validateLimits(c *checker, name string, l ClientLimits) {
	const kind = kindLimits
	c.check(l.HeaderBytes > 0, kind, name, "header_bytes", l.HeaderBytes, "more than 0")
	c.check(l.BodyBytes > 0, kind, name, "body_bytes", l.BodyBytes, "more than 0")
	c.check(l.HeaderTime > 0, kind, name, "header_time", l.HeaderTime, "more than 0s")
	c.check(l.IdleTime > 0, kind, name, "idle_time", l.IdleTime, "more than 0s")
}

func quote[T ~string](v T) string {
	return fmt.Sprintf("%q", string(v))
}
