package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/directory"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Times of directory calls.
const (
	// watchWait is how long a watch call waits for a change. Its connection can fail unnoticed, so the call must end within
	// the time in which a change has to take effect.
	watchWait = 900 * time.Millisecond
	// watchPause is the pause between two watch calls, so that one call returns several changes in quick succession.
	watchPause = 150 * time.Millisecond
	// readTimeout bounds a read of the complete directory.
	readTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call, which doubles with each failure.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// outageDelay is after how long without a directory read entries may have lapsed: the platform drops an entry after
	// three missed heartbeats.
	outageDelay = 2500 * time.Millisecond
	// selectionInterval is how often a router that does not poll the directory checks whether it should.
	selectionInterval = 100 * time.Millisecond
	// unknownAge is the reported age before the first directory read.
	unknownAge = time.Hour
	// expireInterval is how often missing instances are checked for expiry.
	expireInterval = 200 * time.Millisecond
)

// Source reads and watches the platform's directory.
type Source interface {
	Read(ctx context.Context) (*directory.Update, error)
	Watch(ctx context.Context, after directory.Position, wait time.Duration) (*directory.Update, error)
}

// Offerer accepts versions of the declarations.
type Offerer interface {
	Offer(d revision.Delta) revision.Result
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Routers reports the directory reads of the other routers.
type Routers interface {
	// Pollers returns the routers that can read the directory.
	Pollers() []polling.Candidate
	// LastDirectoryRead returns the time of the latest directory read that one of them has reported.
	LastDirectoryRead() clock.Instant
}

// Watcher keeps the instances, the evacuations and the declarations up to date with the directory. It polls the directory itself if this
// router is a poller, and relies on the updates of other routers otherwise.
type Watcher struct {
	// Self is this router.
	Self    polling.Candidate
	Routers Routers
	Source  Source
	Store   *revision.Store
	Offer   Offerer
	Members *members.Registry
	// Evacuations need no broadcast: each state that goes to another router has them all.
	Evacuations *evacuation.Tracker
	Clock       Clock
	Log         *log.Logger
	Scope       tally.Scope
	// OnEvents is called with instance events, Broadcast with the changes to send to the other routers.
	OnEvents  func(source string, events []members.Event)
	Broadcast func(changes []members.Change)
	// OnEvacuations is called with evacuations and their ends.
	OnEvacuations func(source string, changes []evacuation.Change)

	// complete reports that changes after position are enough, without a read of the complete directory.
	complete   bool
	retryPause time.Duration

	mu sync.Mutex
	// position is written by Run only.
	position directory.Position
	// lastRead is the time of the latest directory read by any router, lastOwnRead by this one.
	lastRead, lastOwnRead clock.Instant
	failing               bool
	polling               bool
	// refreshes are those that wait for a read that begins after them; wake interrupts a watch or a pause for them.
	refreshes []chan error
	wake      chan struct{}
}

// String returns the service's name.
func (w *Watcher) String() string { return "directory" }

// Run follows the directory until ctx ends. It is ready at once, since the directory may be down for a long time.
func (w *Watcher) Run(ctx context.Context, ready func()) error {
	ready()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.expire(ctx)
	}()
	for ctx.Err() == nil {
		if waiting := w.takeRefreshes(); len(waiting) > 0 {
			w.refresh(ctx, waiting)
			continue
		}
		if w.shouldPoll() {
			w.poll(ctx)
			continue
		}
		// Changes from now on may be missed, so the next poll reads the complete directory.
		w.complete = false
		w.pause(ctx, selectionInterval)
	}
	<-done
	return nil
}

// shouldPoll reports whether this router should read the directory itself now.
func (w *Watcher) shouldPoll() bool {
	now := w.Clock.Now()
	othersRead := w.Routers.LastDirectoryRead()
	w.mu.Lock()
	w.lastRead = max(w.lastRead, othersRead)
	anyRead := w.lastRead != 0
	w.mu.Unlock()
	_, declarations := w.Store.Current()
	poll := !anyRead || declarations == nil || !w.Members.Complete() ||
		polling.Selected(polling.State{Self: w.Self, Others: w.Routers.Pollers(), UpdateAge: now.Sub(othersRead)})
	w.mu.Lock()
	changed := poll != w.polling
	w.polling = poll
	w.mu.Unlock()
	if changed {
		w.Log.Info("directory reader", "reads", poll, "told", othersRead != 0, "news_age_ms", updateAge(now, othersRead).Milliseconds())
	}
	if !poll {
		w.Members.SetOutage(now, false)
	}
	return poll
}

// updateAge returns the age of the latest directory read of the others, 0 if there is none.
func updateAge(now, othersRead clock.Instant) time.Duration {
	if othersRead == 0 {
		return 0
	}
	return now.Sub(othersRead)
}

// State returns how long ago this router read the directory, and whether it cannot read it. Reads of other routers do not
// count, since two routers that report each other's reads would keep the age low forever.
func (w *Watcher) State() (age time.Duration, failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastOwnRead == 0 {
		return unknownAge, w.failing
	}
	return w.Clock.Now().Sub(w.lastOwnRead), w.failing
}

// Status is the state of the watcher in a dump.
type Status struct {
	// Reads reports that this router reads the directory itself, Failing that it cannot.
	Reads   bool `json:"reads"`
	Failing bool `json:"failing"`
	// Era and Number are the position of this router's last read.
	Era    members.Era `json:"era"`
	Number uint64      `json:"revision"`
}

// Dump returns the state of the watcher.
func (w *Watcher) Dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{Reads: w.polling, Failing: w.failing, Era: w.position.Era, Number: w.position.Number}
}

func (w *Watcher) expire(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if events := w.Members.Expire(w.Clock.Now()); len(events) > 0 {
			w.OnEvents("expiry", events)
			w.Broadcast(members.ChangesOf(events))
		}
	}
}

// poll makes one call and the pause after it.
func (w *Watcher) poll(ctx context.Context) {
	call, cancel := w.interruptible(ctx)
	u, err := w.fetch(call, watchWait)
	interrupted := call.Err() != nil
	cancel()
	if ctx.Err() != nil || (err != nil && interrupted) {
		return
	}
	if err != nil {
		w.failed(ctx, err)
		return
	}
	w.record(u)
	if !u.Complete {
		w.pause(ctx, watchPause)
	}
}

// record records a successful call with its update.
func (w *Watcher) record(u *directory.Update) {
	w.Scope.Counter("directory_reads").Inc(1)
	readAt := w.succeeded()
	w.apply(u)
	w.mu.Lock()
	w.lastOwnRead = readAt
	w.lastRead = max(w.lastRead, readAt)
	w.mu.Unlock()
}

// fetch reads the complete directory, or its changes, for which it waits.
func (w *Watcher) fetch(ctx context.Context, wait time.Duration) (*directory.Update, error) {
	if w.complete {
		return w.Source.Watch(ctx, w.position, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	u, err := w.Source.Read(ctx)
	if err == nil && u.Position.Era < w.position.Era {
		return nil, &directory.RestoredError{Before: w.position.Era, Now: u.Position.Era}
	}
	return u, err
}

// succeeded records a successful call and returns the current instant.
func (w *Watcher) succeeded() clock.Instant {
	now := w.Clock.Now()
	w.Members.SetOutage(now, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing {
		w.Log.Info("directory regained", "after_ms", now.Sub(w.lastRead).Milliseconds())
	}
	w.failing, w.retryPause = false, 0
	return now
}

// failed records a failed call and waits before the next one.
func (w *Watcher) failed(ctx context.Context, err error) {
	w.Scope.Counter("directory_failures").Inc(1)
	var lost *directory.HistoryLostError
	if errors.As(err, &lost) {
		w.Log.Info("directory history lost", "after", lost.After.Revision())
		w.complete = false
		return
	}
	var restored *directory.RestoredError
	if errors.As(err, &restored) {
		w.Log.Warn("directory restored from an older copy", "era", restored.Now, "era_before", restored.Before)
		w.Scope.Counter("directory_restored").Inc(1)
		w.complete = false
		// A response of an earlier era is a late one, or from a part of the directory that lags behind.
		clock.Sleep(ctx, minRetryPause)
		return
	}
	now := w.Clock.Now()
	w.mu.Lock()
	if !w.failing {
		w.Log.Warn("directory lost", "error", err)
		w.failing = true
	}
	age := now.Sub(w.lastRead)
	w.mu.Unlock()
	if age > outageDelay {
		w.Members.SetOutage(now, true)
		// Entries may have lapsed and the history may be gone, so the complete directory is read again.
		w.complete = false
	}
	w.retryPause = min(maxRetryPause, max(minRetryPause, 2*w.retryPause))
	pause := w.retryPause/2 + rand.N(w.retryPause)
	var statusErr *directory.StatusError
	if errors.As(err, &statusErr) {
		pause = max(pause, min(maxRetryPause, statusErr.RetryAfter))
	}
	clock.Sleep(ctx, pause)
}

// apply applies an update to the instances and the declarations.
func (w *Watcher) apply(u *directory.Update) {
	for i := range u.Invalid {
		w.Log.Warn("directory entry refused", "error", &u.Invalid[i])
		w.Scope.Counter("directory_invalid_entries").Inc(1)
	}
	now := w.Clock.Now()
	w.applyEvacuations(now, u)
	var events []members.Event
	if u.Complete {
		events = w.Members.Replace(now, u.Position.Revision(), u.Instances)
		w.complete = true
	} else {
		events = w.Members.Apply(now, u.Instances)
	}
	w.mu.Lock()
	w.position = u.Position
	w.mu.Unlock()
	if len(events) > 0 {
		w.OnEvents("directory", events)
		w.Broadcast(members.ChangesOf(events))
	}
	if u.Declarations != nil {
		w.offer(u.Declarations, u.Revision)
	}
}

// applyEvacuations applies the evacuations of an update.
func (w *Watcher) applyEvacuations(now clock.Instant, u *directory.Update) {
	var changes []evacuation.Change
	if u.Complete {
		changes = w.Evacuations.Replace(now, u.Position.Revision(), u.Evacuations)
	} else {
		changes = w.Evacuations.Apply(now, u.Evacuations)
	}
	if len(changes) > 0 {
		w.OnEvacuations("directory", changes)
	}
}

// offer offers a version of the declarations as a delta from the version in force.
func (w *Watcher) offer(next *settings.Declarations, r settings.Revision) {
	for range 2 {
		current, declarations := w.Store.Current()
		if r <= current.Revision || w.Store.Refused(r) {
			return
		}
		docs, err := settings.Changes(declarations, next, r)
		if err != nil {
			w.Log.Error("declarations refused", "revision", r, "error", err)
			return
		}
		d := revision.Delta{From: current.Revision, To: revision.Version{Revision: r}, Documents: docs}
		// On a gap, another router may have delivered a newer version meanwhile, so the delta is computed again.
		if w.Offer.Offer(d) != revision.Gap {
			return
		}
	}
}
