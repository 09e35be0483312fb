package settings

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawChange draws a change of one declaration, valid or not.
func drawChange(t *rapid.T) Document {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	share := rapid.IntRange(-1, 3).Draw(t, "share")
	change := Document{Deleted: rapid.Bool().Draw(t, "deleted")}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		change.Key, change.Value = DocumentKey("teams/"+name), fmt.Sprintf("share: %d", share)
	case 1:
		change.Key, change.Value = DocumentKey("services/"+name), fmt.Sprintf("{kind: plain, max_running: %d}", share)
	case 2:
		change.Key, change.Value = DocumentKey("profiles/"+name), fmt.Sprintf("{service: %s, idempotent: true, retries: %d}", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), share)
	case 3:
		change.Key, change.Value = DocumentKey("upstreams/"+name), fmt.Sprintf("{service: a, data_centre: kano, side: '127.0.0.1:%d'}", 7400+share)
	}
	return change
}

// TestChangesAgreeWithDecodingAllDocuments compares the result of applying changes one by one with that of decoding all
// documents at once.
func TestChangesAgreeWithDecodingAllDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declarations := newDeclarations()
		docs := make(map[DocumentKey]Document)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			change := drawChange(t)
			next, err := declarations.With([]Document{change})
			all := make(map[DocumentKey]Document)
			for key, doc := range docs {
				all[key] = doc
			}
			all[change.Key] = change
			var list []Document
			for _, doc := range all {
				if !doc.Deleted {
					list = append(list, doc)
				}
			}
			decoded, decodeErr := FromDocuments(list)
			if (err == nil) != (decodeErr == nil) {
				t.Fatalf("after %v: applying the change returned %v, decoding all documents returned %v", change, err, decodeErr)
			}
			if err != nil {
				continue
			}
			if fmt.Sprint(next) != fmt.Sprint(decoded) {
				t.Fatalf("after %v: applying the change gave %v, decoding all documents gave %v", change, next, decoded)
			}
			declarations, docs = next, all
		}
	})
}

func TestUpstreamsWithTheSameAddressAreRejected(t *testing.T) {
	c := qt.New(t)
	_, err := FromDocuments([]Document{
		{Key: "services/a", Value: "{kind: plain}"},
		{Key: "upstreams/x", Value: "{service: a, data_centre: kano, side: '127.0.0.1:1'}"},
		{Key: "upstreams/y", Value: "{service: a, data_centre: kano, side: '127.0.0.1:1'}"},
	})
	c.Assert(err, qt.ErrorMatches, `.*upstreams.y.side.*x has this one`)
}

func FuzzDocument(f *testing.F) {
	f.Add("teams/a", "share: 1")
	f.Add("services/a", "{kind: plain}")
	f.Add("upstreams/a", "{side: x")
	f.Add("nothing", "")
	f.Fuzz(func(t *testing.T, key, value string) {
		declarations, err := FromDocuments([]Document{{Key: DocumentKey(key), Value: value}})
		if err == nil && len(declarations.Validate()) > 0 {
			t.Fatal("accepted declarations have faults")
		}
	})
}

// TestChangesLeadToTheNextVersion applies the changes between two versions to the first one and compares the result with
// the second one.
func TestChangesLeadToTheNextVersion(t *testing.T) {
	c := qt.New(t)
	rank := 3
	first := &Declarations{
		Services: map[ServiceName]Service{"desk": {Kind: KindPlain}, "letters": {Kind: KindModel, Model: "m", MaxRunning: 64}},
		Teams:    map[TeamID]Team{"parents": {Keys: []KeyDigest{DigestKey("k1")}, Rank: &rank}, "heads": {}},
		Routes: map[RouteName]Route{
			"a": {Host: "h.example", PathPrefix: "/a/", Kind: RouteOnce, Backends: []Backend{{Service: "desk", Weight: 1}}},
			"b": {Host: "h.example", PathPrefix: "/b/", Kind: RouteStream, Resumable: true, Attempts: 2, Timeout: 1500 * time.Millisecond,
				Backends: []Backend{{Service: "letters", Weight: 9}, {Service: "desk", Weight: 1}}},
		},
		Limits: map[LimitsName]ClientLimits{ClientLimitsName: {IdleTime: 15 * time.Second}},
	}
	first.SetDefaults()
	docs, err := Changes(nil, first, 5)
	c.Assert(err, qt.IsNil)
	got, err := newDeclarations().With(docs)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Routes, qt.DeepEquals, first.Routes)
	c.Assert(got.Teams, qt.DeepEquals, first.Teams)
	c.Assert(got.Services, qt.DeepEquals, first.Services)
	c.Assert(got.Limits, qt.DeepEquals, first.Limits)

	second := got.clone()
	delete(second.Routes, "a")
	delete(second.Teams, "heads")
	route := second.Routes["b"]
	route.Timeout = time.Second
	second.Routes["b"] = route
	docs, err = Changes(got, second, 6)
	c.Assert(err, qt.IsNil)
	c.Assert(docs, qt.HasLen, 3)
	next, err := got.With(docs)
	c.Assert(err, qt.IsNil)
	c.Assert(next.Routes, qt.DeepEquals, second.Routes)
	c.Assert(next.Teams, qt.DeepEquals, second.Teams)
}
