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
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Times of reading.
const (
	// waitTime is how long a watch waits for a change. A watch can be cut off without a sign, so it must end within the
	// time in which a change has to be in force.
	waitTime = 900 * time.Millisecond
	// pauseTime collects the changes that come in quick succession, so that one call returns several.
	pauseTime = 150 * time.Millisecond
	// readTime bounds a read of the whole directory.
	readTime = 2 * time.Second
	// firstRetry and maxRetry bound the pause after a failed call, doubling each time.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// outageTime is how long the directory must be out of reach until entries may have lapsed meanwhile: the platform
	// drops an entry after three heartbeats.
	outageTime = 2500 * time.Millisecond
	// idleTime is how often a router that does not read looks whether its turn has come.
	idleTime = 100 * time.Millisecond
	// unknownAge is the age that a router tells that has not read the directory yet.
	unknownAge = time.Hour
	// expireInterval is how often missing instances are looked at.
	expireInterval = 200 * time.Millisecond
)

// Source reads the platform's directory.
type Source interface {
	Read(ctx context.Context) (*directory.Update, error)
	Watch(ctx context.Context, after directory.Position, wait time.Duration) (*directory.Update, error)
}

// Offerer takes versions of the declarations.
type Offerer interface {
	Offer(d revision.Delta) revision.Result
}

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Routers knows what the other routers tell of the directory.
type Routers interface {
	// Pollers returns the routers that can read it.
	Pollers() []polling.Candidate
	// LastDirectoryRead returns when, at the latest, one of them knew the whole directory.
	LastDirectoryRead() clock.Instant
}

// Watcher follows the directory and keeps members and declarations in step.
type Watcher struct {
	// Self is this router.
	Self    polling.Candidate
	Routers Routers
	Source  Source
	Store   *revision.Store
	Offer   Offerer
	Members *members.Registry
	Clock   Clock
	Log     *log.Logger
	Scope   tally.Scope
	// OnEvents hears of changed instances, Tell of the changes that other routers should hear.
	OnEvents  func(source string, events []members.Event)
	Broadcast func(changes []members.Change)

	at    directory.Position
	whole bool
	retry time.Duration
	reads bool

	mu sync.Mutex
	// informed is when this router knew the whole directory, by itself or from others, and read when by itself.
	informed, read clock.Instant
	failing        bool
}

// String returns the service's name.
func (w *Watcher) String() string { return "directory" }

// Run reads until ctx ends; it is ready at once, since the directory may be down for long.
func (w *Watcher) Run(ctx context.Context, ready func()) error {
	ready()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.expire(ctx)
	}()
	for ctx.Err() == nil {
		if w.reader() {
			w.step(ctx)
			continue
		}
		// What is missed from now on is read anew if this router's turn comes.
		w.whole = false
		clock.Sleep(ctx, idleTime)
	}
	<-done
	return nil
}

// reader reports whether this router reads the directory itself now.
func (w *Watcher) reader() bool {
	now := w.Clock.Now()
	told := w.Routers.LastDirectoryRead()
	w.mu.Lock()
	w.informed = max(w.informed, told)
	known := w.informed != 0
	w.mu.Unlock()
	_, fleet := w.Store.Current()
	reads := !known || fleet == nil || !w.Members.Complete() ||
		polling.Selected(polling.State{Self: w.Self, Others: w.Routers.Pollers(), UpdateAge: now.Sub(told)})
	if reads != w.reads {
		w.reads = reads
		w.Log.Info("directory reader", "reads", reads, "told", told != 0, "news_age_ms", newsAge(now, told).Milliseconds())
	}
	if !reads {
		w.Members.SetOutage(now, false)
	}
	return reads
}

// newsAge is the age of what others have told, 0 where nobody has told anything.
func newsAge(now, told clock.Instant) time.Duration {
	if told == 0 {
		return 0
	}
	return now.Sub(told)
}

// State returns how long ago this router has read the directory, and whether it cannot. What it was told does not count:
// two routers that repeat each other's news would keep it young for ever.
func (w *Watcher) State() (age time.Duration, failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.read == 0 {
		return unknownAge, w.failing
	}
	return w.Clock.Now().Sub(w.read), w.failing
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
			w.Broadcast(changesOf(events, nil))
		}
	}
}

// step makes one call and the pause after it.
func (w *Watcher) step(ctx context.Context) {
	u, err := w.call(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.failed(ctx, err)
		return
	}
	w.Scope.Counter("directory_reads").Inc(1)
	began := w.took()
	w.apply(u)
	w.mu.Lock()
	w.read = began
	w.informed = max(w.informed, began)
	w.mu.Unlock()
	if !u.Complete {
		clock.Sleep(ctx, pauseTime)
	}
}

func (w *Watcher) call(ctx context.Context) (*directory.Update, error) {
	if w.whole {
		return w.Source.Watch(ctx, w.at, waitTime)
	}
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	return w.Source.Read(ctx)
}

// took notes a call that succeeded and returns the present instant.
func (w *Watcher) took() clock.Instant {
	now := w.Clock.Now()
	w.Members.SetOutage(now, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing {
		w.Log.Info("directory regained", "after_ms", now.Sub(w.informed).Milliseconds())
	}
	w.failing, w.retry = false, 0
	return now
}

// failed notes a call that failed and waits before the next.
func (w *Watcher) failed(ctx context.Context, err error) {
	w.Scope.Counter("directory_failures").Inc(1)
	var lost *directory.HistoryLostError
	if errors.As(err, &lost) {
		w.Log.Info("directory history lost", "after", lost.After)
		w.whole = false
		return
	}
	now := w.Clock.Now()
	w.mu.Lock()
	if !w.failing {
		w.Log.Warn("directory lost", "error", err)
		w.failing = true
	}
	age := now.Sub(w.informed)
	w.mu.Unlock()
	if age > outageTime {
		w.Members.SetOutage(now, true)
		// Entries may have changed and the history may be gone, so everything is read anew.
		w.whole = false
	}
	w.retry = min(maxRetry, max(firstRetry, 2*w.retry))
	pause := w.retry/2 + rand.N(w.retry)
	var unavailable *directory.UnavailableError
	if errors.As(err, &unavailable) {
		pause = max(pause, min(maxRetry, unavailable.RetryAfter))
	}
	clock.Sleep(ctx, pause)
}

// apply takes an update in.
func (w *Watcher) apply(u *directory.Update) {
	for i := range u.Invalid {
		w.Log.Warn("directory entry refused", "error", &u.Invalid[i])
		w.Scope.Counter("directory_invalid_entries").Inc(1)
	}
	now := w.Clock.Now()
	var events []members.Event
	if u.Complete {
		events = w.Members.Replace(now, members.Revision(u.Position), u.Instances)
		w.whole = true
	} else {
		events = w.Members.Apply(now, u.Instances)
	}
	w.at = u.Position
	if len(events) > 0 {
		w.OnEvents("directory", events)
		w.Broadcast(changesOf(events, u.Instances))
	}
	if u.Declarations != nil {
		w.offer(u.Declarations, u.Revision)
	}
}

// changesOf returns the changes behind events, for other routers.
func changesOf(events []members.Event, listed []members.Change) []members.Change {
	byID := make(map[settings.UpstreamID]members.Change, len(listed))
	for _, c := range listed {
		byID[c.ID] = c
	}
	var changes []members.Change
	for _, e := range events {
		if e.Kind == members.EventMissing {
			// The entry may come back; other routers that read the directory decide for themselves.
			continue
		}
		if c, ok := byID[e.ID]; ok {
			changes = append(changes, c)
			continue
		}
		if e.Kind == members.EventRemoved {
			changes = append(changes, members.Change{ID: e.ID, Revision: e.Revision, Removed: true})
		}
	}
	return changes
}

// offer gives a version to the store, as the change from the version in force.
func (w *Watcher) offer(next *settings.Declarations, r settings.Revision) {
	for range 2 {
		have, fleet := w.Store.Current()
		if r <= have.Revision || w.Store.Refused(r) {
			return
		}
		docs, err := settings.Changes(fleet, next, r)
		if err != nil {
			w.Log.Error("declarations refused", "revision", r, "error", err)
			return
		}
		d := revision.Delta{From: have.Revision, To: revision.Version{Revision: r}, Documents: docs}
		// Another router may have brought a newer version between the two steps.
		if w.Offer.Offer(d) != revision.Gap {
			return
		}
	}
}
