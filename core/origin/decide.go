package origin

import (
	"slices"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/settings"
)

// Question asks where a stream may go on.
type Question struct {
	// FirstAttempt is the client's attempt that brought the first event, empty if the client does not state it.
	FirstAttempt call.ID
	// Service is the one that the request would go to.
	Service settings.ServiceName
	// Own is the last block of the prompt, which belongs to the request or its session alone; it is zero for a request without blocks.
	Own call.PromptBlock
}

// Engine is what a router knows of an instance that may have begun a stream.
type Engine struct {
	Origin Origin
	// HasListed reports that the instance has listed its cache, ListAge ago, since the last loss of a router or just before. A stream of a
	// lost router may have begun after an older list.
	HasListed bool
	ListAge   time.Duration
	// Unreadable reports that the instance could not be read since then. Unless its process has ended, its cache may hold any stream.
	Unreadable bool
}

// Listing is the statement of an instance, which may have ended since, that it has a stream's own block cached.
type Listing struct {
	Origin Origin
	// Tokens is the number of cached tokens.
	Tokens settings.Tokens
}

// Knowledge is what a router knows of a stream that is to go on, with the replies of those that it has asked.
type Knowledge struct {
	// Found is the remembered origin, nil if no router remembers it.
	Found *Origin
	// Versions are those that have served the service lately, by all replies and this router itself; a version may occur twice.
	Versions []Seen
	// Complete reports that Versions has all that may have begun the stream.
	Complete bool
	// Contact tells whether another version may have joined unnoticed.
	Contact Contact
	// Own is the size of the prompt's own block. Listings tell who has it cached, Engines are the instances in the directory that may
	// have begun the stream. ListingsComplete reports that no listing was dropped.
	Own              settings.Tokens
	Listings         []Listing
	Engines          []Engine
	ListingsComplete bool
}

// Contact is what a router knows of the others and of the directory as a client takes up a stream.
type Contact struct {
	// Asked is the number of routers that it has asked about the stream, Replies of those that have replied.
	Asked, Replies int
	// Whole reports that no router that it knows has been out of reach since the newest news from the directory.
	Whole bool
	// Refreshed reports that it has read the directory since the client came.
	Refreshed bool
}

// Current reports whether the router knows all versions at which a stream can have begun before the client came. A router out of reach may
// have begun it at an instance that this one has not heard of.
func (c Contact) Current() bool {
	return c.Refreshed || c.Asked > 0 && c.Replies == c.Asked && c.Whole
}

// Verdict is where a stream may go on.
type Verdict string

// The verdicts of Decide.
const (
	// Remembered means that a router remembers the origin.
	Remembered Verdict = "remembered"
	// OnlyVersion means that no other version can have begun the stream.
	OnlyVersion Verdict = "only_version"
	// Cached means that instances of one version alone have the stream's whole prompt cached.
	Cached Verdict = "cached_prompt"
	// Unknown means that the stream may have begun at another version than any that it could go on at.
	Unknown Verdict = "unknown"
)

// Decide returns where a stream may go on that would go to a service. It answers the load of clients that return to any router while
// several versions serve, also after their router and those that held its records are lost, or all routers. A wrong version spoils the
// stream unnoticed, while a refused client can return or begin anew, so nothing is guessed.
func Decide(service settings.ServiceName, k *Knowledge) (Origin, Verdict) {
	if k.Found != nil {
		return *k.Found, Remembered
	}
	if !k.Contact.Current() {
		return Origin{}, Unknown
	}
	if o, ok := onlyVersion(service, k); ok {
		return o, OnlyVersion
	}
	if o, ok := cachingVersion(k); ok {
		return o, Cached
	}
	return Origin{}, Unknown
}

// onlyVersion returns the version that alone can have begun a stream. A listing of another one contradicts it.
func onlyVersion(service settings.ServiceName, k *Knowledge) (Origin, bool) {
	if !k.Complete || len(k.Versions) == 0 {
		return Origin{}, false
	}
	o := Origin{Service: service, Version: k.Versions[0].Version}
	for _, s := range k.Versions {
		if s.Version != o.Version {
			return Origin{}, false
		}
	}
	for _, l := range k.Listings {
		if l.Origin != o {
			return Origin{}, false
		}
	}
	return o, true
}

// pageTokens is the unit in which engines keep tokens; what does not fill a unit is not listed.
const pageTokens = 16

// cachingVersion returns the version whose instances alone have a stream's own prompt block cached, the whole of it. Each instance of another
// version must have been read, since a request that was sent to two versions is listed by both. Where one cannot be read, a list must show that
// tokens have been generated: these went to the client, while a prompt alone may be that of an attempt which brought nothing.
func cachingVersion(k *Knowledge) (Origin, bool) {
	if !k.ListingsComplete || len(k.Listings) == 0 || k.Listings[0].Origin.Version == "" {
		return Origin{}, false
	}
	o, whole, generated := k.Listings[0].Origin, false, false
	for _, l := range k.Listings {
		if l.Origin != o {
			return Origin{}, false
		}
		whole = whole || l.Tokens > k.Own-pageTokens
		generated = generated || l.Tokens > k.Own
	}
	if !slices.ContainsFunc(k.Versions, func(s Seen) bool { return s.Version == o.Version }) {
		return Origin{}, false
	}
	for _, e := range k.Engines {
		if e.Origin != o && !e.HasListed && !(e.Unreadable && generated) {
			return Origin{}, false
		}
	}
	return o, whole
}
