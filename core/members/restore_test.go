package members

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

func in(era Era, number uint64) Revision { return NewRevision(era, number) }

// running returns a listed change of one process of an upstream.
func running(id settings.UpstreamID, r Revision, incarnation Incarnation) Change {
	c := listed(id, r)
	c.Instance.Incarnation = incarnation
	return c
}

func TestRevisionOrder(t *testing.T) {
	c := qt.New(t)
	c.Assert(in(0, 7), qt.Equals, Revision(7))
	c.Assert(in(1, 7), qt.Equals, Revision(7))
	c.Assert(in(2, 7) > in(1, 1<<39), qt.IsTrue)
	c.Assert(in(2, 8) > in(2, 7), qt.IsTrue)
	c.Assert(in(3, 7).Era(), qt.Equals, Era(3))
	c.Assert(in(3, 7).Number(), qt.Equals, uint64(7))
	c.Assert(in(1<<40, 1<<60) >= in(maxEra, maxNumber), qt.IsTrue)
	c.Assert(fmt.Sprint(in(1, 7), in(3, 7)), qt.Equals, "7 3/7")
}

// TestRestoredDirectory covers a listing of the second era, made from a copy that is some seconds older than what is known.
func TestRestoredDirectory(t *testing.T) {
	known := func() *Registry {
		r := &Registry{}
		r.Replace(second, in(1, 100), []Change{running("a", in(1, 50), 1), running("b", in(1, 60), 2)})
		return r
	}
	draining := running("a", in(1, 110), 1)
	draining.Instance.Draining = true
	tests := []struct {
		name   string
		before []Change
		copied []Change
		// soon and late are the serving instances at once and after the time in which the directory is restored.
		soon, late []settings.UpstreamID
	}{
		{"same entries", nil, []Change{running("a", in(2, 50), 1), running("b", in(2, 60), 2)},
			[]settings.UpstreamID{"a", "b"}, []settings.UpstreamID{"a", "b"}},
		{"entry missing in the copy", nil, []Change{running("a", in(2, 50), 1)},
			[]settings.UpstreamID{"a", "b"}, []settings.UpstreamID{"a"}},
		{"new entry", nil, []Change{running("a", in(2, 50), 1), running("b", in(2, 60), 2), running("c", in(2, 90), 3)},
			[]settings.UpstreamID{"a", "b", "c"}, []settings.UpstreamID{"a", "b", "c"}},
		{"draining before, ready in the copy", []Change{draining}, []Change{running("a", in(2, 50), 1), running("b", in(2, 60), 2)},
			[]settings.UpstreamID{"b"}, []settings.UpstreamID{"b"}},
		{"removed before, present in the copy", []Change{removed("a", in(1, 110))},
			[]Change{running("a", in(2, 50), 1), running("b", in(2, 60), 2)},
			[]settings.UpstreamID{"b"}, []settings.UpstreamID{"a", "b"}},
		{"removed before, another process in the copy", []Change{removed("a", in(1, 110))},
			[]Change{running("a", in(2, 105), 7), running("b", in(2, 60), 2)},
			[]settings.UpstreamID{"a", "b"}, []settings.UpstreamID{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := known()
			r.Apply(second, tt.before)
			r.Replace(2*second, in(2, 95), tt.copied)
			c.Assert(ids(r), qt.DeepEquals, tt.soon)
			r.Expire((2 * second).Add(restoreTime))
			c.Assert(ids(r), qt.DeepEquals, tt.late)
		})
	}
}

// TestHeldEntryIsUsedOnceItIsWrittenAgain covers an upstream whose entry had lapsed before the directory was restored.
func TestHeldEntryIsUsedOnceItIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, in(1, 100), []Change{running("a", in(1, 50), 1)})
	r.Apply(second, []Change{removed("a", in(1, 110))})
	r.Replace(2*second, in(2, 95), []Change{running("a", in(2, 50), 1)})
	c.Assert(ids(&r), qt.HasLen, 0)
	r.Apply(3*second, []Change{running("a", in(2, 96), 1)})
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a"})
}

// TestHeldEntryThatLapsesIsNotUsed covers an upstream that had ended before the directory was restored.
func TestHeldEntryThatLapsesIsNotUsed(t *testing.T) {
	for name, lapse := range map[string]func(r *Registry){
		"removal seen":      func(r *Registry) { r.Apply(4*second, []Change{removed("a", in(2, 99))}) },
		"missing in a list": func(r *Registry) { r.Replace(4*second, in(2, 99), nil) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var r Registry
			r.Replace(second, in(1, 100), []Change{running("a", in(1, 50), 1)})
			r.Apply(second, []Change{removed("a", in(1, 110))})
			r.Replace(2*second, in(2, 95), []Change{running("a", in(2, 50), 1)})
			lapse(&r)
			r.Expire(20 * second)
			c.Assert(ids(&r), qt.HasLen, 0)
		})
	}
}

// TestStartingRouterHearsFromAnEarlierEra covers a router that has listed the new era and then hears from one in the old. An
// entry that the copy lacks may come back for a while.
func TestStartingRouterHearsFromAnEarlierEra(t *testing.T) {
	c := qt.New(t)
	var old, fresh Registry
	old.Replace(second, in(1, 100), []Change{running("a", in(1, 50), 1), running("gone", in(1, 60), 1)})
	fresh.Replace(2*second, in(2, 95), []Change{running("a", in(2, 50), 1)})
	fresh.ApplyRelayed(2*second, old.Snapshot())
	c.Assert(ids(&fresh), qt.DeepEquals, []settings.UpstreamID{"a", "gone"})
	events := fresh.Expire((2 * second).Add(reappearTime))
	c.Assert(ids(&fresh), qt.DeepEquals, []settings.UpstreamID{"a"})
	old.ApplyRelayed(5*second, ChangesOf(events))
	c.Assert(ids(&old), qt.DeepEquals, []settings.UpstreamID{"a"})
}

// TestRouterIsToldOfARemovalThatItMissed covers a router whose news came from others that ended together with an upstream: one
// that starts and lists the directory tells it that the entry is gone.
func TestRouterIsToldOfARemovalThatItMissed(t *testing.T) {
	c := qt.New(t)
	var old, fresh Registry
	old.Replace(second, 100, []Change{running("a", 50, 1), running("gone", 60, 1)})
	fresh.Replace(2*second, 110, []Change{running("a", 50, 1)})
	fresh.ApplyRelayed(2*second, old.Snapshot())
	// The entry may have lapsed in an outage that only the other router has seen.
	c.Assert(ids(&fresh), qt.DeepEquals, []settings.UpstreamID{"a", "gone"})
	events := fresh.Expire((2 * second).Add(removalDelay))
	c.Assert(ids(&fresh), qt.DeepEquals, []settings.UpstreamID{"a"})
	old.ApplyRelayed(2*second, ChangesOf(events))
	c.Assert(ids(&old), qt.DeepEquals, []settings.UpstreamID{"a"})
	c.Assert(fresh.ApplyRelayed(2*second, []Change{running("gone", 60, 1)}), qt.HasLen, 0)
}

// modelStore is a directory that is restored from an older copy now and then, and writes the upstreams' entries again after it.
type modelStore struct {
	era    Era
	number uint64
	list   map[settings.UpstreamID]Change
	log    []Change
	// alive holds the process of each upstream that runs, and whether it is draining.
	alive map[settings.UpstreamID]Instance
}

func (s *modelStore) write(c Change) {
	s.number++
	c.Revision = in(s.era, s.number)
	if c.Removed {
		delete(s.list, c.ID)
	} else {
		s.list[c.ID] = c
	}
	s.log = append(s.log, c)
}

func (s *modelStore) changes() []Change {
	var list []Change
	for _, c := range s.list {
		list = append(list, c)
	}
	return list
}

// restore goes back to a copy, which has forgotten the last writes, and gives their numbers out again.
func (s *modelStore) restore(lost int) {
	kept := s.log[:max(0, len(s.log)-lost)]
	s.era++
	s.list = make(map[settings.UpstreamID]Change)
	s.number = 0
	for i, c := range kept {
		s.number = c.Revision.Number()
		c.Revision = in(s.era, s.number)
		kept[i] = c
		if c.Removed {
			delete(s.list, c.ID)
			continue
		}
		s.list[c.ID] = c
	}
	s.log = kept
}

// rewrite writes the entries that differ from the running upstreams, as these do within seconds.
func (s *modelStore) rewrite() {
	for id, inst := range s.alive {
		if have, ok := s.list[id]; !ok || have.Instance != inst {
			s.write(Change{ID: id, Instance: inst})
		}
	}
	for id := range s.list {
		if _, ok := s.alive[id]; !ok {
			s.write(Change{ID: id, Removed: true})
		}
	}
}

// TestRoutersAgreeAcrossEras lets routers read the directory and tell each other in any order while upstreams start, drain and
// end and the directory is restored. No router may use a process that it knows to be draining, and at the end all agree with the
// directory.
func TestRoutersAgreeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{era: 1, list: make(map[settings.UpstreamID]Change), alive: make(map[settings.UpstreamID]Instance)}
		routers := []*Registry{{}, {}, {}}
		positions := make([]Revision, len(routers))
		pending := make([][]Change, len(routers))
		drained := make([]map[process]bool, len(routers))
		now := second
		incarnation := Incarnation(0)
		spread := func(from int, events []Event) {
			for i := range routers {
				if i == from {
					continue
				}
				pending[i] = append(pending[i], ChangesOf(events)...)
			}
		}
		check := func() {
			for i, r := range routers {
				if drained[i] == nil {
					drained[i] = make(map[process]bool)
				}
				for id, e := range r.entries {
					if e.instance.Draining {
						drained[i][process{id, e.instance.Incarnation}] = true
					}
				}
				for _, inst := range r.Serving("letters") {
					if drained[i][process{inst.ID, inst.Incarnation}] {
						t.Fatalf("router %d uses %s again, which it knew to be draining", i, inst.ID)
					}
				}
			}
		}
		list := func(i int) {
			spread(i, routers[i].Replace(now, in(s.era, s.number), s.changes()))
			positions[i] = in(s.era, s.number)
		}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
			id := settings.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "upstream"))
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			switch rapid.SampledFrom([]string{"start", "drain", "end", "restore", "rewrite", "list", "watch", "relay", "expire", "answer"}).
				Draw(t, "step") {
			case "start":
				incarnation++
				s.alive[id] = Instance{ID: id, Service: "letters", Incarnation: incarnation}
				s.write(Change{ID: id, Instance: s.alive[id]})
			case "drain":
				if inst, ok := s.alive[id]; ok {
					inst.Draining = true
					s.alive[id] = inst
					s.write(Change{ID: id, Instance: inst})
				}
			case "end":
				delete(s.alive, id)
				if _, ok := s.list[id]; ok {
					s.write(Change{ID: id, Removed: true})
				}
			case "restore":
				s.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			case "rewrite":
				s.rewrite()
			case "list":
				list(i)
			case "watch":
				if positions[i].Era() != s.era {
					list(i)
					break
				}
				var news []Change
				for _, c := range s.log {
					if c.Revision > positions[i] {
						news = append(news, c)
					}
				}
				spread(i, routers[i].Apply(now, news))
				positions[i] = in(s.era, s.number)
			case "relay":
				spread(i, routers[i].ApplyRelayed(now, pending[i]))
				pending[i] = nil
			case "expire":
				spread(i, routers[i].Expire(now))
			case "answer":
				if inst, ok := s.alive[id]; ok && inst.Draining {
					spread(i, routers[i].MarkLeaving(inst))
				}
			}
			check()
		}
		s.rewrite()
		list(0)
		for range 20 {
			now = now.Add(time.Second)
			for i := range routers {
				spread(i, routers[i].ApplyRelayed(now, pending[i]))
				pending[i] = nil
				spread(i, routers[i].Expire(now))
			}
			check()
		}
		var want []settings.UpstreamID
		for id, inst := range s.alive {
			if !inst.Draining {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		for i, r := range routers {
			if got := ids(r); !slices.Equal(got, want) {
				t.Fatalf("router %d uses %v, not %v, at %v", i, got, want, clock.Instant(now))
			}
		}
	})
}
