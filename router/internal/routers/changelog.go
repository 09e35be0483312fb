package routers

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// changeLog holds the latest changes of a section, which are numbered from 2 on; the zero value is empty and has the version 1.
type changeLog[T any] struct {
	items []logged[T]
	// dropped is the number of changes that are no longer held.
	dropped peer.StateVersion
}

// logged is a change with the router that sent it, empty for this one.
type logged[T any] struct {
	change T
	source string
	at     clock.Instant
}

// version returns the version of the latest change.
func (l *changeLog[T]) version() peer.StateVersion {
	return 1 + l.dropped + peer.StateVersion(len(l.items))
}

// add adds a change and drops the oldest ones above the limit.
func (l *changeLog[T]) add(at clock.Instant, source string, change T, limit int) {
	l.items = append(l.items, logged[T]{change: change, source: source, at: at})
	if len(l.items) >= 2*limit {
		drop := len(l.items) - limit
		l.items = append(make([]logged[T], 0, 2*limit), l.items[drop:]...)
		l.dropped += peer.StateVersion(drop)
	}
}

// resume returns the version of the latest change before a time.
func (l *changeLog[T]) resume(from clock.Instant) peer.StateVersion {
	i := len(l.items)
	for i > 0 && l.items[i-1].at >= from {
		i--
	}
	return 1 + l.dropped + peer.StateVersion(i)
}

// since returns the changes after a version, or false if they are no longer held or have never been.
func (l *changeLog[T]) since(after peer.StateVersion) ([]logged[T], bool) {
	if after <= l.dropped || after > l.version() {
		return nil, false
	}
	return l.items[after-1-l.dropped:], true
}

// encode returns the wire form of a section's data.
func encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	// Encoding into memory fails only for types that msgpack cannot encode, which the sections do not have.
	if err := enc.Encode(v); err != nil {
		return nil
	}
	return buf.Bytes()
}

func decode(data []byte, v any) error { return msgpack.Unmarshal(data, v) }
