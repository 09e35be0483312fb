package settings

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawChange draws a change of one declaration, valid or not.
func drawChange(t *rapid.T) Document {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	share := rapid.IntRange(-1, 3).Draw(t, "share")
	d := Document{Deleted: rapid.Bool().Draw(t, "deleted")}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		d.Key, d.Value = DocumentKey("teams/"+name), fmt.Sprintf("share: %d", share)
	case 1:
		d.Key, d.Value = DocumentKey("services/"+name), fmt.Sprintf("{kind: plain, max_running: %d}", share)
	case 2:
		d.Key, d.Value = DocumentKey("profiles/"+name), fmt.Sprintf("{service: %s, idempotent: true, retries: %d}", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), share)
	case 3:
		d.Key, d.Value = DocumentKey("upstreams/"+name), fmt.Sprintf("{service: a, data_centre: kano, side: '127.0.0.1:%d'}", 7400+share)
	}
	return d
}

// TestChangeByChangeAgreesWithTheWhole compares applying changes one by one with reading all documents anew.
func TestChangeByChangeAgreesWithTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet()
		docs := make(map[DocumentKey]Document)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := drawChange(t)
			next, err := fleet.With([]Document{d})
			all := make(map[DocumentKey]Document)
			for key, have := range docs {
				all[key] = have
			}
			all[d.Key] = d
			var list []Document
			for _, have := range all {
				if !have.Deleted {
					list = append(list, have)
				}
			}
			whole, wholeErr := FromDocuments(list)
			if (err == nil) != (wholeErr == nil) {
				t.Fatalf("after %v: change says %v, whole says %v", d, err, wholeErr)
			}
			if err != nil {
				continue
			}
			if fmt.Sprint(next) != fmt.Sprint(whole) {
				t.Fatalf("after %v: change leads to %v, whole is %v", d, next, whole)
			}
			fleet, docs = next, all
		}
	})
}

func TestTwoUpstreamsBehindOneAddressAreRefused(t *testing.T) {
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
		fleet, err := FromDocuments([]Document{{Key: DocumentKey(key), Value: value}})
		if err == nil && len(fleet.Validate()) > 0 {
			t.Fatal("accepted declarations have faults")
		}
	})
}
