package outcome

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// State is the progress of the single run of a key.
type State uint8

// The states of a key.
const (
	StateRunning State = iota + 1
	StateDone
	// StateLost means that the run may have started and its result is not known or was too long to keep.
	StateLost
)

// Answer is the recorded response of a run.
type Answer struct {
	Status  int
	Headers []peer.Header
	Body    []byte
}

// Record is a side's record of one key or ticket.
type Record struct {
	Key        string
	BodyDigest uint64
	State      State
	Answer     Answer
	expires    clock.Instant
	done       chan struct{}
}

// Done returns a channel that is closed when the run has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Step is the action to take for a submitted key.
type Step int

// The actions for a submitted key.
const (
	// StepRun starts the single run.
	StepRun Step = iota
	// StepReplay sends the recorded answer.
	StepReplay
	// StepWait waits until the run in progress has ended.
	StepWait
	// StepLost refuses the key because the result of its run is not known.
	StepLost
	// StepBodyDiffers refuses the key because it was used for another request.
	StepBodyDiffers
	// StepTableFull refuses the key because the table has no room for it.
	StepTableFull
)

// Bounds of a key table.
const (
	DefaultMaxRecords     = 200_000
	DefaultMaxAnswerBytes = 32 << 20
	// MaxAnswerBytes is the longest response body kept for replay.
	MaxAnswerBytes = 256 << 10
)

// Keys is the key table of one side; its zero value is empty.
type Keys struct {
	MaxRecords     int
	MaxAnswerBytes int

	records   map[string]*Record
	bytes     int
	nextSweep clock.Instant
}

// Begin looks up a key and records the start of its single run if there was none. A full table refuses new keys
// rather than evict a live one, which would allow a second run.
func (k *Keys) Begin(now clock.Instant, key string, bodyDigest uint64, lifetime time.Duration) (*Record, Step) {
	k.expire(now)
	if r := k.records[key]; r != nil {
		return r, stepFor(r, bodyDigest)
	}
	if k.full() {
		return nil, StepTableFull
	}
	r := &Record{Key: key, BodyDigest: bodyDigest, State: StateRunning, expires: now.Add(lifetime), done: make(chan struct{})}
	k.put(r)
	return r, StepRun
}

// Lookup returns the record of a key, if there is one, and the step for a submission with this body; it starts no run.
func (k *Keys) Lookup(key string, bodyDigest uint64) (*Record, Step) {
	if r := k.records[key]; r != nil {
		return r, stepFor(r, bodyDigest)
	}
	return nil, StepRun
}

func stepFor(r *Record, bodyDigest uint64) Step {
	if r.BodyDigest != bodyDigest {
		return StepBodyDiffers
	}
	switch r.State {
	case StateRunning:
		return StepWait
	case StateDone:
		return StepReplay
	}
	return StepLost
}

// Finish records the answer of a run and keeps it for lifetime from now.
func (k *Keys) Finish(now clock.Instant, r *Record, a Answer, lifetime time.Duration) {
	if len(a.Body) > MaxAnswerBytes {
		// The answer is too long to keep, but the key must still not run again.
		k.MarkLost(now, r, lifetime)
		return
	}
	r.Answer = a
	k.bytes += len(a.Body)
	k.end(now, r, StateDone, lifetime)
}

// MarkLost records that the result of a run is not known and keeps the record for lifetime from now.
func (k *Keys) MarkLost(now clock.Instant, r *Record, lifetime time.Duration) {
	k.end(now, r, StateLost, lifetime)
}

func (k *Keys) end(now clock.Instant, r *Record, s State, lifetime time.Duration) {
	r.State = s
	r.expires = now.Add(lifetime)
	close(r.done)
}

// Undo removes the record of a run of which nothing was sent to the upstream.
func (k *Keys) Undo(r *Record) {
	delete(k.records, r.Key)
	r.State = StateLost
	close(r.done)
}

// Import adds a record from another side. An existing record stays, except that a record without a result is
// replaced by one that has the result.
func (k *Keys) Import(now clock.Instant, in peer.KeyRecord) {
	have := k.records[in.Key]
	state := State(in.State)
	if state == StateRunning {
		// The run is in progress at the other side, and its result may never arrive here.
		state = StateLost
	}
	if have != nil && (have.State == StateDone || have.State == StateRunning || state != StateDone) {
		return
	}
	r := &Record{
		Key:        in.Key,
		BodyDigest: in.BodyDigest,
		State:      state,
		Answer:     Answer{Status: in.Status, Headers: in.Headers, Body: in.AnswerBody},
		expires:    now.Add(in.Remaining),
		done:       make(chan struct{}),
	}
	close(r.done)
	k.bytes += len(in.AnswerBody)
	k.put(r)
}

// Export returns the records whose keys keep selects.
func (k *Keys) Export(now clock.Instant, keep func(key string) bool) []peer.KeyRecord {
	k.expire(now)
	var out []peer.KeyRecord
	for key, r := range k.records {
		if keep(key) {
			out = append(out, r.export(now))
		}
	}
	return out
}

func (r *Record) export(now clock.Instant) peer.KeyRecord {
	return peer.KeyRecord{
		Key:        r.Key,
		BodyDigest: r.BodyDigest,
		State:      uint8(r.State),
		Status:     r.Answer.Status,
		Headers:    r.Answer.Headers,
		AnswerBody: r.Answer.Body,
		Remaining:  r.expires.Sub(now),
	}
}

// Len returns the number of recorded keys.
func (k *Keys) Len() int { return len(k.records) }

// AnswerBytes returns the size of the recorded response bodies in bytes.
func (k *Keys) AnswerBytes() int { return k.bytes }

func (k *Keys) full() bool {
	return len(k.records) >= orDefault(k.MaxRecords, DefaultMaxRecords) ||
		k.bytes >= orDefault(k.MaxAnswerBytes, DefaultMaxAnswerBytes)
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func (k *Keys) put(r *Record) {
	if k.records == nil {
		k.records = make(map[string]*Record)
	}
	k.records[r.Key] = r
}

func (k *Keys) expire(now clock.Instant) {
	if now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = now.Add(sweepInterval)
	for key, r := range k.records {
		if r.State == StateRunning || !r.expires.Before(now) {
			continue
		}
		k.bytes -= len(r.Answer.Body)
		delete(k.records, key)
	}
}
