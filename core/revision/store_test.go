package revision

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/settings"
)

func team(name string, share int, r settings.Revision) settings.Document {
	return settings.Document{Key: settings.DocumentKey("teams/" + name), Value: fmt.Sprintf("share: %d", share), Revision: r}
}

func full(r settings.Revision, docs ...settings.Document) Delta {
	return Delta{To: Version{Revision: r}, Documents: docs}
}

func TestOfferAcceptsOnlyNewerVersions(t *testing.T) {
	tests := map[string]struct {
		offer Delta
		want  Result
		share int
	}{
		"newer complete version":       {full(6, team("a", 9, 6)), Accepted, 9},
		"newer change":                 {Delta{From: 5, To: Version{Revision: 6}, Documents: []settings.Document{team("a", 9, 6)}}, Accepted, 9},
		"older version":                {full(4, team("a", 9, 4)), Stale, 1},
		"same version again":           {full(5, team("a", 1, 5)), Stale, 1},
		"same revision, other content": {Delta{To: Version{Revision: 5, Digest: 77}, Documents: []settings.Document{team("a", 9, 5)}}, Diverged, 1},
		"change after a gap":           {Delta{From: 7, To: Version{Revision: 8}, Documents: []settings.Document{team("a", 9, 8)}}, Gap, 1},
		"invalid version":              {full(6, team("a", -1, 6)), Invalid, 1},
		"digest that does not match":   {Delta{From: 5, To: Version{Revision: 6, Digest: 3}}, Gap, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &Store{}
			_, err := s.Offer(full(5, team("a", 1, 5)))
			c.Assert(err, qt.IsNil)
			got, err := s.Offer(test.offer)
			c.Assert(got, qt.Equals, test.want)
			var invalid *InvalidError
			c.Assert(errors.As(err, &invalid), qt.Equals, test.want == Invalid)
			_, declarations := s.Current()
			c.Assert(declarations.Teams["a"].Share, qt.Equals, test.share)
		})
	}
}

func TestVersionAfterAnInvalidOneIsAccepted(t *testing.T) {
	c := qt.New(t)
	s := &Store{}
	_, _ = s.Offer(full(1, team("a", 1, 1)))
	result, _ := s.Offer(full(2, team("a", -1, 2)))
	c.Assert(result, qt.Equals, Invalid)
	c.Assert(s.Status().Refused.Revision, qt.Equals, settings.Revision(2))
	result, err := s.Offer(full(3, team("a", 3, 3)))
	c.Assert(err, qt.IsNil)
	c.Assert(result, qt.Equals, Accepted)
	c.Assert(s.Status().Refused.Revision, qt.Equals, settings.Revision(0))
}

// TestStoresConvergeToReferenceHistory exchanges deltas between stores in random order, with restarts and stale
// responses, and compares each store with the reference history.
func TestStoresConvergeToReferenceHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]int{{}}
		reference := &Store{}
		_, _ = reference.Offer(full(0))
		stores := []*Store{{}, {}, {}}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				change(t, reference, &history)
			case 1:
				i := rapid.IntRange(0, 2).Draw(t, "store")
				at := settings.Revision(rapid.IntRange(0, len(history)-1).Draw(t, "revision"))
				_, _ = stores[i].Offer(completeAt(history, at))
			case 2:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(0, 2).Draw(t, "to")
				v, _ := stores[to].Current()
				_, _ = stores[to].Offer(stores[from].Since(v.Revision))
			case 3:
				stores[rapid.IntRange(0, 2).Draw(t, "restart")] = &Store{}
			}
			for _, s := range stores {
				compareWith(t, history, s)
			}
		}
		v, _ := reference.Current()
		for _, s := range stores {
			have, _ := s.Current()
			_, _ = s.Offer(reference.Since(have.Revision))
			now, _ := s.Current()
			if now != v {
				t.Fatalf("store at %v, reference at %v", now, v)
			}
		}
	})
}

func change(t *rapid.T, reference *Store, history *[]map[string]int) {
	r := settings.Revision(len(*history))
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	share := rapid.IntRange(1, 9).Draw(t, "share")
	doc := team(name, share, r)
	doc.Deleted = rapid.Bool().Draw(t, "deleted")
	next := maps.Clone((*history)[r-1])
	delete(next, name)
	if !doc.Deleted {
		next[name] = share
	}
	*history = append(*history, next)
	_, _ = reference.Offer(Delta{From: r - 1, To: Version{Revision: r}, Documents: []settings.Document{doc}})
}

func completeAt(history []map[string]int, r settings.Revision) Delta {
	d := full(r)
	for name, share := range history[r] {
		d.Documents = append(d.Documents, team(name, share, r))
	}
	return d
}

func compareWith(t *rapid.T, history []map[string]int, s *Store) {
	v, declarations := s.Current()
	if declarations == nil {
		return
	}
	want := history[v.Revision]
	if len(want) != len(declarations.Teams) {
		t.Fatalf("revision %d has %v, store has %v", v.Revision, want, declarations.Teams)
	}
	for name, share := range want {
		if declarations.Teams[settings.TeamID(name)].Share != share {
			t.Fatalf("revision %d has %v, store has %v", v.Revision, want, declarations.Teams)
		}
	}
}
