package members

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/settings"
)

// TestInstancesAreExchangedWithOlderPrograms guards against instances that programs without versions cannot decode.
func TestInstancesAreExchangedWithOlderPrograms(t *testing.T) {
	c := qt.New(t)
	type instance struct {
		ID            settings.UpstreamID
		Service       settings.ServiceName
		Address       string
		DataCentre    settings.DataCentre
		Slots         int
		Draining      bool
		ColdRemaining time.Duration
		Incarnation   Incarnation
	}
	type change struct {
		ID       settings.UpstreamID
		Revision Revision
		Removed  bool
		Instance instance
	}
	encode := func(v any) []byte {
		var b bytes.Buffer
		enc := msgpack.NewEncoder(&b)
		enc.UseArrayEncodedStructs(true)
		c.Assert(enc.Encode(v), qt.IsNil)
		return b.Bytes()
	}
	changes := []Change{
		{ID: "i-1", Revision: 7, Instance: Instance{
			ID: "i-1", Service: "letters", Address: "10.1.0.1:80", DataCentre: "kano", Slots: 8, Draining: true,
			ColdRemaining: time.Second, Incarnation: 1_700_000_000_000, Version: "v1.1",
		}},
		{ID: "i-2", Revision: 8, Removed: true},
	}
	var same []Change
	c.Assert(msgpack.Unmarshal(encode(changes), &same), qt.IsNil)
	c.Assert(same, qt.DeepEquals, changes)
	var old []change
	c.Assert(msgpack.Unmarshal(encode(WithoutVersions(changes)), &old), qt.IsNil)
	c.Assert(old, qt.HasLen, 2)
	c.Assert(old[0].Instance.Incarnation, qt.Equals, Incarnation(1_700_000_000_000))
	var back []Change
	c.Assert(msgpack.Unmarshal(encode(old), &back), qt.IsNil)
	c.Assert(back, qt.DeepEquals, WithoutVersions(changes))
}
