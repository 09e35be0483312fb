package outcome

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// State is how far the one run of a key has come.
type State uint8

// The states of a key.
const (
	StateRunning State = iota + 1
	StateDone
	// StateLost means that the run started and its result never came.
	StateLost
)

// Answer is the recorded answer of a run.
type Answer struct {
	Status  int
	Headers []peer.Header
	Body    []byte
}

// Record is what a side remembers of one key or ticket.
type Record struct {
	Key     string
	Body    uint64
	State   State
	Answer  Answer
	expires clock.Instant
	done    chan struct{}
}

// Done is closed when the run has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Step is what to do with a submitted key.
type Step int

// The steps.
const (
	StepRun Step = iota
	StepReplay
	StepWait
	StepLost
	StepBodyDiffers
	StepTableFull
)

// Bounds of a key table.
const (
	DefaultMaxRecords     = 200_000
	DefaultMaxAnswerBytes = 32 << 20
	// MaxAnswerBytes is the longest answer kept for replay.
	MaxAnswerBytes = 256 << 10
)

// Keys is the table of keys of one side; its zero value is empty.
type Keys struct {
	MaxRecords     int
	MaxAnswerBytes int

	records map[string]*Record
	bytes   int
	sweep   clock.Instant
}

// Begin looks up a key and starts its one run if there was none. A full table refuses new keys and forgets none.
func (k *Keys) Begin(now clock.Instant, key string, body uint64, lifetime time.Duration) (*Record, Step) {
	k.expire(now)
	if r := k.records[key]; r != nil {
		return r, stepFor(r, body)
	}
	if k.full() {
		return nil, StepTableFull
	}
	r := &Record{Key: key, Body: body, State: StateRunning, expires: now.Add(lifetime), done: make(chan struct{})}
	k.put(r)
	return r, StepRun
}

// Lookup returns the record of a key and what a submission with this body would do.
func (k *Keys) Lookup(key string, body uint64) (*Record, Step) {
	if r := k.records[key]; r != nil {
		return r, stepFor(r, body)
	}
	return nil, StepRun
}

func stepFor(r *Record, body uint64) Step {
	if r.Body != body {
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

// Finish records the answer of a run, for lifetime from now.
func (k *Keys) Finish(now clock.Instant, r *Record, a Answer, lifetime time.Duration) {
	if len(a.Body) > MaxAnswerBytes {
		// The call must still not run again, but its answer is too long to keep.
		k.MarkLost(now, r, lifetime)
		return
	}
	r.Answer = a
	k.bytes += len(a.Body)
	k.end(now, r, StateDone, lifetime)
}

// MarkLost records that the result of a run is not known.
func (k *Keys) MarkLost(now clock.Instant, r *Record, lifetime time.Duration) {
	k.end(now, r, StateLost, lifetime)
}

func (k *Keys) end(now clock.Instant, r *Record, s State, lifetime time.Duration) {
	r.State = s
	r.expires = now.Add(lifetime)
	close(r.done)
}

// Undo forgets a run that was proved never to have been handed over.
func (k *Keys) Undo(r *Record) {
	delete(k.records, r.Key)
	r.State = StateLost
	close(r.done)
}

// Import takes in a record from another side; a record that is here already wins unless the new one knows a result.
func (k *Keys) Import(now clock.Instant, in peer.KeyRecord) {
	have := k.records[in.Key]
	state := State(in.State)
	if state == StateRunning {
		// The run goes on elsewhere, where its result may be lost.
		state = StateLost
	}
	if have != nil && (have.State == StateDone || have.State == StateRunning || state != StateDone) {
		return
	}
	r := &Record{
		Key:     in.Key,
		Body:    in.BodyDigest,
		State:   state,
		Answer:  Answer{Status: in.Status, Headers: in.Headers, Body: in.Answer},
		expires: now.Add(in.Remaining),
		done:    make(chan struct{}),
	}
	close(r.done)
	k.bytes += len(in.Answer)
	k.put(r)
}

// Export returns the records that keep selects.
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
		BodyDigest: r.Body,
		State:      uint8(r.State),
		Status:     r.Answer.Status,
		Headers:    r.Answer.Headers,
		Answer:     r.Answer.Body,
		Remaining:  r.expires.Sub(now),
	}
}

// Len returns the number of keys remembered.
func (k *Keys) Len() int { return len(k.records) }

// AnswerBytes returns the size of the recorded answers.
func (k *Keys) AnswerBytes() int { return k.bytes }

func (k *Keys) full() bool {
	return len(k.records) >= orDefault(k.MaxRecords, DefaultMaxRecords) ||
		k.bytes >= orDefault(k.MaxAnswerBytes, DefaultMaxAnswerBytes)
}

func orDefault(value, other int) int {
	if value > 0 {
		return value
	}
	return other
}

func (k *Keys) put(r *Record) {
	if k.records == nil {
		k.records = make(map[string]*Record)
	}
	k.records[r.Key] = r
}

func (k *Keys) expire(now clock.Instant) {
	if now.Before(k.sweep) {
		return
	}
	k.sweep = now.Add(sweepInterval)
	for key, r := range k.records {
		if r.State == StateRunning || !r.expires.Before(now) {
			continue
		}
		k.bytes -= len(r.Answer.Body)
		delete(k.records, key)
	}
}
