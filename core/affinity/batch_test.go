package affinity

import (
	"bytes"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/settings"
)

func TestUnpackRestoresPackedEntries(t *testing.T) {
	c := qt.New(t)
	entries := []CacheEntry{
		{Block: 1, Upstream: "a", Age: 0},
		{Block: 1 << 63, Upstream: "a", Age: 30 * time.Second},
		{Block: 7, Upstream: "b", Age: ageUnit},
	}
	got, err := Unpack(Pack(entries))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, entries)
}

func TestAgesBeyondOneByteExceedTheLifetime(t *testing.T) {
	c := qt.New(t)
	got, err := Unpack(Pack([]CacheEntry{{Block: 1, Upstream: "a", Age: time.Hour}, {Block: 2, Upstream: "a", Age: -time.Second}}))
	c.Assert(err, qt.IsNil)
	c.Assert(got[0].Age > entryLifetime, qt.IsTrue)
	c.Assert(got[1].Age, qt.Equals, time.Duration(0))
}

func TestMalformedBatchIsRejected(t *testing.T) {
	c := qt.New(t)
	_, err := Unpack([]Batch{{Upstream: "a", Blocks: make([]byte, 9), Ages: make([]byte, 1)}})
	var malformed *MalformedBatchError
	c.Assert(errors.As(err, &malformed), qt.IsTrue)
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("01234567"), []byte{3})
	f.Fuzz(func(t *testing.T, blocks, ages []byte) {
		entries, err := Unpack([]Batch{{Upstream: "a", Blocks: blocks, Ages: ages}})
		if err == nil && len(entries) != len(ages) {
			t.Fatalf("%d entries from %d ages", len(entries), len(ages))
		}
	})
}

// TestBatchesAreExchangedWithOlderPrograms guards against batches that programs without listings cannot decode.
func TestBatchesAreExchangedWithOlderPrograms(t *testing.T) {
	c := qt.New(t)
	type batch struct {
		Upstream settings.UpstreamID
		Blocks   []byte
		Ages     []byte
	}
	encode := func(v any) []byte {
		var b bytes.Buffer
		enc := msgpack.NewEncoder(&b)
		enc.UseArrayEncodedStructs(true)
		c.Assert(enc.Encode(v), qt.IsNil)
		return b.Bytes()
	}
	plain := []Batch{{Upstream: "a", Blocks: []byte("12345678"), Ages: []byte{1}}}
	older := []batch{{Upstream: "a", Blocks: []byte("12345678"), Ages: []byte{1}}}
	c.Assert(encode(plain), qt.DeepEquals, encode(older))
	var back []Batch
	c.Assert(msgpack.Unmarshal(encode(older), &back), qt.IsNil)
	c.Assert(back, qt.DeepEquals, plain)

	listed := append(plain, Batch{
		Upstream: "a", Blocks: []byte("12345678"), Ages: []byte{1}, Listed: []byte{0, 0, 1, 0}, Incarnation: 1_700_000_000_000,
		Service: "letters", Version: "v1.1",
	})
	var got []batch
	c.Assert(msgpack.Unmarshal(encode(WithoutListings(listed)), &got), qt.IsNil)
	c.Assert(got, qt.DeepEquals, append(older, older...))
	var same []Batch
	c.Assert(msgpack.Unmarshal(encode(listed), &same), qt.IsNil)
	c.Assert(same, qt.DeepEquals, listed)
}
