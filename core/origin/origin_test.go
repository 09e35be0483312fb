package origin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

func at(s int) clock.Instant { return clock.Instant(time.Hour + time.Duration(s)*time.Second) }

func event(kind members.EventKind, id string, version members.Version) members.Event {
	return members.Event{ID: settings.UpstreamID(id), Kind: kind, Instance: members.Instance{
		ID: settings.UpstreamID(id), Service: "letters", Version: version, Incarnation: 1,
	}}
}

var inTouch = Contact{Asked: 5, Replies: 5, Whole: true}

// TestStreamOfUnknownOriginGoesOnOnlyWhereItIsCertain covers what a router may know when no router remembers a stream.
func TestStreamOfUnknownOriginGoesOnOnlyWhereItIsCertain(t *testing.T) {
	one := []Seen{{Service: "letters", Version: "v1"}, {Service: "letters", Version: "v1", Age: time.Second}}
	v2 := Origin{Service: "letters", Version: "v2"}
	two := append(slices.Clone(one), Seen{Service: "letters", Version: "v2", Age: 50 * time.Second})
	tests := []struct {
		name    string
		k       Knowledge
		version members.Version
		verdict Verdict
	}{
		{"remembered, whatever serves", Knowledge{Found: &Origin{Version: "v0"}, Versions: two}, "v0", Remembered},
		{"one version", Knowledge{Versions: one, Complete: true, Contact: inTouch}, "v1", OnlyVersion},
		{"another one has left", Knowledge{Versions: two, Complete: true, Contact: inTouch}, "", Unknown},
		{"another one may have left", Knowledge{Versions: one, Contact: inTouch}, "", Unknown},
		{"another one may have come", Knowledge{Versions: one, Complete: true}, "", Unknown},
		{"a router out of reach", Knowledge{Versions: one, Complete: true, Contact: Contact{Asked: 5, Replies: 5}}, "", Unknown},
		{"one has not replied", Knowledge{Versions: one, Complete: true, Contact: Contact{Asked: 5, Replies: 4, Whole: true}}, "", Unknown},
		{"alone", Knowledge{Versions: one, Complete: true, Contact: Contact{Whole: true}}, "", Unknown},
		{"alone, with the directory", Knowledge{Versions: one, Complete: true, Contact: Contact{Refreshed: true}}, "v1", OnlyVersion},
		{"no instances", Knowledge{Complete: true, Contact: inTouch}, "", Unknown},
		{"only version, and another one has its prompt", Knowledge{
			Versions: one, Complete: true, Contact: inTouch, Own: 50, Listings: []Listing{{Origin: v2, Tokens: 80}}, ListingsComplete: true,
		}, "", Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			o, verdict := Decide("letters", &tt.k)
			c.Assert(o.Version, qt.Equals, tt.version)
			c.Assert(verdict, qt.Equals, tt.verdict)
		})
	}
}

// TestStreamGoesOnWhereItsPromptIsCached covers the loss of all routers while two versions serve: what the engines have cached tells where
// a stream began, unless an engine of another version may have it too.
func TestStreamGoesOnWhereItsPromptIsCached(t *testing.T) {
	v1, v2 := Origin{Service: "letters", Version: "v1"}, Origin{Service: "letters", Version: "v2"}
	engines := []Engine{{Origin: v1, HasListed: true}, {Origin: v2, HasListed: true}}
	tests := []struct {
		name   string
		change func(k *Knowledge)
		origin Origin
	}{
		{"one version", func(*Knowledge) {}, v2},
		{"two engines of a version, one of which began nothing", func(k *Knowledge) {
			k.Listings = append(k.Listings, Listing{Origin: v2, Tokens: 20})
		}, v2},
		{"another version too", func(k *Knowledge) { k.Listings = append(k.Listings, Listing{Origin: v1, Tokens: 20}) }, Origin{}},
		{"another service too", func(k *Knowledge) {
			k.Listings = append(k.Listings, Listing{Origin: Origin{Service: "drafts", Version: "v2"}, Tokens: 80})
		}, Origin{}},
		{"read, and the answer was cut", func(k *Knowledge) { k.Listings[0].Tokens = 50 - pageTokens + 1 }, v2},
		{"not read to its end", func(k *Knowledge) { k.Listings[0].Tokens = 50 - pageTokens }, Origin{}},
		{"nobody", func(k *Knowledge) { k.Listings = nil }, Origin{}},
		{"listings were dropped", func(k *Knowledge) { k.ListingsComplete = false }, Origin{}},
		{"an engine of another version has not listed its cache", func(k *Knowledge) { k.Engines[0].HasListed = false }, Origin{}},
		{"an engine of another version cannot be read", func(k *Knowledge) {
			k.Engines[0] = Engine{Origin: v1, Unreadable: true}
		}, v2},
		{"no engine of another version can be read", func(k *Knowledge) {
			k.Engines = append(k.Engines[1:], Engine{Origin: v1, Unreadable: true}, Engine{Origin: v1, Unreadable: true})
		}, v2},
		{"one cannot be read, and nothing was generated behind the prompt", func(k *Knowledge) {
			k.Engines[0], k.Listings[0].Tokens = Engine{Origin: v1, Unreadable: true}, 50
		}, Origin{}},
		{"one cannot be read, and another one has the prompt too", func(k *Knowledge) {
			k.Engines = append(k.Engines, Engine{Origin: v1, Unreadable: true})
			k.Listings = append(k.Listings, Listing{Origin: v1, Tokens: 20})
		}, Origin{}},
		{"one cannot be read, and another one has not been read yet", func(k *Knowledge) {
			k.Engines = append(k.Engines, Engine{Origin: v1, Unreadable: true}, Engine{Origin: v1})
		}, Origin{}},
		{"one could not be read at first", func(k *Knowledge) {
			k.Engines[0].Unreadable, k.Listings[0].Tokens = true, 50
		}, v2},
		{"an engine of the version has not listed its cache", func(k *Knowledge) { k.Engines[1].HasListed = false }, v2},
		{"the router is cut off", func(k *Knowledge) { k.Contact.Whole = false }, Origin{}},
		{"engines that name no version", func(k *Knowledge) { k.Listings[0].Origin.Version = "" }, Origin{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			k := Knowledge{
				Versions: []Seen{{Service: "letters", Version: "v1"}, {Service: "letters", Version: "v2"}}, Contact: inTouch, Own: 50,
				Listings: []Listing{{Origin: v2, Tokens: 80}}, Engines: slices.Clone(engines), ListingsComplete: true,
			}
			tt.change(&k)
			o, verdict := Decide("letters", &k)
			c.Assert(o, qt.Equals, tt.origin)
			c.Assert(verdict == Cached, qt.Equals, tt.origin != Origin{})
		})
	}
}

// TestVersionThatLeftStaysInTheHistory guards against a stream that goes on at the version that replaced its own.
func TestVersionThatLeftStaysInTheHistory(t *testing.T) {
	c := qt.New(t)
	var h History
	h.Start(at(0), true)
	h.Apply(at(0), []members.Event{event(members.EventAdded, "a", "v1"), event(members.EventAdded, "b", "v1")})
	c.Assert(h.Mixed(at(0), "letters"), qt.IsFalse)
	h.Apply(at(1), []members.Event{event(members.EventAdded, "c", "v2")})
	h.Apply(at(2), []members.Event{event(members.EventRemoved, "a", "v1"), event(members.EventDraining, "b", "v1")})
	h.Apply(at(3), []members.Event{event(members.EventMissing, "b", "v1")})
	c.Assert(h.Seen(at(3), "letters"), qt.DeepEquals, []Seen{{Service: "letters", Version: "v1"}, {Service: "letters", Version: "v2"}})
	// The process starts again under its id with another version.
	h.Apply(at(4), []members.Event{event(members.EventRestarted, "b", "v2")})
	c.Assert(h.Seen(at(10), "letters"), qt.DeepEquals,
		[]Seen{{Service: "letters", Version: "v1", Age: 6 * time.Second}, {Service: "letters", Version: "v2"}})
	c.Assert(h.Mixed(at(60), "letters"), qt.IsTrue)
	c.Assert(h.Mixed(at(65), "letters"), qt.IsFalse)
	c.Assert(h.left, qt.HasLen, 0)
}

// TestMissingInstanceCounts guards against an instance that serves although its entry was never listed here: another router had it
// before an outage of the directory.
func TestMissingInstanceCounts(t *testing.T) {
	c := qt.New(t)
	var h History
	h.Apply(at(0), []members.Event{event(members.EventAdded, "a", "v2"), event(members.EventMissing, "b", "v1")})
	c.Assert(h.Mixed(at(0), "letters"), qt.IsTrue)
	h.Apply(at(2), []members.Event{event(members.EventRemoved, "b", "v1")})
	c.Assert(h.Mixed(at(61), "letters"), qt.IsTrue)
	c.Assert(h.Mixed(at(63), "letters"), qt.IsFalse)
}

// TestStartedRouterInheritsTheHistory guards against a router that takes the versions which it finds for all that there were.
func TestStartedRouterInheritsTheHistory(t *testing.T) {
	c := qt.New(t)
	var old, started History
	old.Start(at(0), true)
	old.Apply(at(0), []members.Event{event(members.EventAdded, "a", "v1")})
	old.Apply(at(20), []members.Event{event(members.EventAdded, "b", "v2"), event(members.EventRemoved, "a", "v1")})
	started.Start(at(30), false)
	started.Apply(at(30), []members.Event{event(members.EventAdded, "b", "v2")})
	c.Assert(started.Complete(at(30)), qt.IsFalse)
	c.Assert(started.Mixed(at(30), "letters"), qt.IsFalse)
	started.Merge(at(30), old.Seen(at(30), ""), old.Complete(at(30)))
	c.Assert(started.Complete(at(30)), qt.IsTrue)
	c.Assert(started.Mixed(at(30), "letters"), qt.IsTrue)
	c.Assert(started.Mixed(at(81), "letters"), qt.IsFalse)

	var alone History
	alone.Start(at(0), false)
	alone.Merge(at(1), nil, false)
	c.Assert(alone.Complete(at(59)), qt.IsFalse)
	c.Assert(alone.Complete(at(60)), qt.IsTrue)
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	c := qt.New(t)
	var r Records
	_, ok := r.Find(at(0), 1)
	c.Assert(ok, qt.IsFalse)
	for id := range StreamID(maxRecords + 10) {
		r.Add(at(0), id, Origin{Service: "letters", Version: "v1"})
	}
	c.Assert(r.Len(), qt.Equals, maxRecords)
	_, ok = r.Find(at(0), 5)
	c.Assert(ok, qt.IsFalse)
	o, ok := r.Find(at(60), maxRecords)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o, qt.Equals, Origin{Service: "letters", Version: "v1"})
	// A stream that goes on is remembered anew.
	r.Add(at(50), maxRecords, o)
	r.Expire(at(61))
	c.Assert(r.Len(), qt.Equals, 1)
	_, ok = r.Find(at(111), maxRecords)
	c.Assert(ok, qt.IsFalse)
}

func addresses(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.%d.0.%d:8229", i%6, i))
	}
	return list
}

// TestOriginsOutliveLostRouters replays a loss of routers, together with those that began the streams: the others are asked for the origins. Some
// routers have come since that the routers which began the streams did not know, and some have been replaced at their addresses.
func TestOriginsOutliveLostRouters(t *testing.T) {
	tests := []struct {
		routers  int
		lost     float64
		replaced bool
		share    float64
	}{
		{4, 0.25, false, 1}, {4, 0.5, false, 1}, {23, 0.25, false, 0.97}, {103, 0.17, false, 0.98}, {103, 0.5, false, 0.8},
		{103, 0.5, true, 0.8}, {400, 0.17, false, 0.95}, {400, 0.5, true, 0.7},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d routers, %v lost, replaced %v", tt.routers, tt.lost, tt.replaced), func(t *testing.T) {
			c := qt.New(t)
			r := rand.New(rand.NewPCG(1, uint64(tt.routers)))
			fleet := addresses(tt.routers)
			before := NewHolders(fleet)
			held := make(map[string]map[StreamID]bool)
			began := make(map[StreamID]string)
			for range 5000 {
				id, self := StreamID(r.Uint64()), fleet[r.IntN(len(fleet))]
				began[id] = self
				for _, a := range before.Of(id, self) {
					c.Assert(a, qt.Not(qt.Equals), self)
					if held[a] == nil {
						held[a] = make(map[StreamID]bool)
					}
					held[a][id] = true
				}
			}
			for _, streams := range held {
				// The load is even: no router holds more than twice its part.
				c.Assert(len(streams) <= 2*5000*holders/(tt.routers-1)+20, qt.IsTrue, qt.Commentf("%d", len(streams)))
			}
			alive := slices.Clone(fleet)
			r.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
			dead := alive[:int(tt.lost*float64(len(alive)))]
			alive = alive[len(dead):]
			for _, a := range dead {
				delete(held, a)
			}
			now := slices.Clone(alive)
			if tt.replaced {
				now = append(now, dead...)
			}
			after := NewHolders(append(now, "10.9.0.1:8229"))
			taken, found := 0, 0
			for id, self := range began {
				if !slices.Contains(dead, self) {
					continue
				}
				taken++
				asker := alive[r.IntN(len(alive))]
				ok := held[asker][id]
				for _, a := range after.Asked(id, asker) {
					ok = ok || held[a][id]
				}
				if ok {
					found++
				}
			}
			c.Assert(float64(found) >= tt.share*float64(taken), qt.IsTrue, qt.Commentf("%d of %d", found, taken))
		})
	}
}

// TestOriginIsNotSharedWhileOthersCannotConcludeIt guards against streams whose origin one router alone knows, though the others may not
// take the only version that they know for it.
func TestOriginIsNotSharedWhileOthersCannotConcludeIt(t *testing.T) {
	tests := []struct {
		name   string
		first  bool
		gap    bool
		age    time.Duration
		after  int
		mixed  bool
		shared bool
	}{
		{name: "one version since the fleet's first start", first: true},
		{name: "several versions", first: true, mixed: true, shared: true},
		{name: "after the loss of all routers", shared: true},
		{name: "a minute after the loss of all routers", after: 60},
		{name: "after a gap", first: true, gap: true, shared: true},
		{name: "a minute after a gap", first: true, gap: true, after: 60},
		{name: "the directory is out of date", first: true, age: MaxDirectoryAge + 1, shared: true},
		{name: "the directory is not out of date", first: true, age: MaxDirectoryAge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var h History
			h.Start(at(0), tt.first)
			h.Apply(at(0), []members.Event{event(members.EventAdded, "a", "v1")})
			if tt.mixed {
				h.Apply(at(0), []members.Event{event(members.EventAdded, "b", "v2")})
			}
			if tt.gap {
				h.Interrupt(at(0))
			}
			sharing := h.Sharing(at(tt.after), tt.age)
			c.Assert(sharing.Of("letters"), qt.Equals, tt.shared)
		})
	}
}

// TestNewsAreOlderThanTheFleet guards against news that count as older than the fleet itself, and as younger than they are at a router that
// starts in a fleet that runs.
func TestNewsAreOlderThanTheFleet(t *testing.T) {
	c := qt.New(t)
	var first, later History
	first.Start(at(0), true)
	later.Start(at(0), false)
	c.Assert(first.NewsAge(at(1), time.Hour), qt.Equals, time.Second)
	c.Assert(first.NewsAge(at(90), time.Hour), qt.Equals, 90*time.Second)
	c.Assert(first.NewsAge(at(90), time.Second), qt.Equals, time.Second)
	c.Assert(later.NewsAge(at(1), time.Hour), qt.Equals, time.Hour)
}
