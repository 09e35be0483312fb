package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/configuration"
)

// inForceLimit is the target for a version to be in force everywhere.
const inForceLimit = 3 * time.Second

// revisionAt asks a process which revision is in force.
func revisionAt(ctx context.Context, operator string) (settings.Revision, error) {
	var sections []struct {
		Name  string          `json:"name"`
		State json.RawMessage `json:"state"`
	}
	if err := Get(ctx, "http://"+operator+"/dump", &sections); err != nil {
		return 0, err
	}
	for _, s := range sections {
		if s.Name == "spread" {
			var status gossip.Status
			err := json.Unmarshal(s.State, &status)
			return status.Version.Revision, err
		}
	}
	return 0, nil
}

func (f *Fleet) operators() []string {
	var list []string
	for _, e := range f.Routers {
		list = append(list, e.Operator)
	}
	for _, u := range f.Units() {
		list = append(list, u.Operator)
	}
	return list
}

// waitInForce waits until a revision is in force at the given processes.
func waitInForce(ctx context.Context, t *testing.T, r settings.Revision, operators ...string) {
	t.Helper()
	begun := time.Now()
	for _, o := range operators {
		for {
			have, err := revisionAt(ctx, o)
			if err == nil && have >= r {
				break
			}
			if time.Since(begun) > inForceLimit {
				t.Fatalf("%s has revision %d after %s, want %d", o, have, time.Since(begun), r)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func teamDoc(share int) settings.Document {
	return settings.Document{Key: "teams/heads", Value: fmt.Sprintf("share: %d", share)}
}

func publish(ctx context.Context, t *testing.T, f *Fleet, docs ...settings.Document) settings.Revision {
	t.Helper()
	r, err := f.Publish(ctx, docs...)
	qt.Assert(t, err, qt.IsNil)
	return r
}

func configurationFaults(ctx context.Context, t *testing.T, f *Fleet, faults configuration.Faults) {
	t.Helper()
	qt.Assert(t, Post(ctx, f.ConfigURL+"/faults", faults, nil), qt.IsNil)
}

func TestAcceptedVersionIsInForceEverywhereAndStays(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 3, Engines: 3, Plains: 2})

	// Two versions within a second.
	publish(ctx, t, f, teamDoc(2))
	second := publish(ctx, t, f, teamDoc(3))
	waitInForce(ctx, t, second, f.operators()...)

	// A stale answer after a newer one.
	configurationFaults(ctx, t, f, configuration.Faults{StaleRevision: 1})
	time.Sleep(time.Second)
	waitInForce(ctx, t, second, f.operators()...)
	configurationFaults(ctx, t, f, configuration.Faults{})

	// An invalid version is refused whole, and the next valid one is accepted.
	bad := publish(ctx, t, f, teamDoc(-1))
	time.Sleep(time.Second)
	for _, o := range f.operators() {
		have, err := revisionAt(ctx, o)
		c.Assert(err, qt.IsNil)
		c.Assert(have < bad, qt.IsTrue)
	}
	good := publish(ctx, t, f, teamDoc(4))
	waitInForce(ctx, t, good, f.operators()...)

	// A router paused through three versions.
	c.Assert(f.Routers[0].Pause(ctx), qt.IsNil)
	for share := range 3 {
		good = publish(ctx, t, f, teamDoc(share+5))
		time.Sleep(300 * time.Millisecond)
	}
	waitInForce(ctx, t, good, f.operators()[1:]...)
	c.Assert(f.Routers[0].Resume(), qt.IsNil)
	waitInForce(ctx, t, good, f.operators()...)
}

func TestRestartOfAllButOneWithTheServiceDownKeepsTheVersion(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 2, Plains: 1})
	r := publish(ctx, t, f, teamDoc(2))
	waitInForce(ctx, t, r, f.operators()...)
	configurationFaults(ctx, t, f, configuration.Faults{Down: true})
	for _, u := range f.Units() {
		c.Assert(u.Side.Restart(ctx), qt.IsNil)
	}
	c.Assert(f.Routers[0].Restart(ctx), qt.IsNil)
	waitInForce(ctx, t, r, f.operators()...)
	a, err := client(t, f.Routers[0].URL).Chat(ctx, question("Still there?"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Whole, qt.IsTrue)
}

func TestRestartedRouterTakesNoStaleAnswerBack(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 2})
	r := publish(ctx, t, f, teamDoc(2))
	waitInForce(ctx, t, r, f.operators()...)
	configurationFaults(ctx, t, f, configuration.Faults{StaleRevision: 1})
	for range 5 {
		c.Assert(f.Routers[0].Restart(ctx), qt.IsNil)
		have, err := revisionAt(ctx, f.Routers[0].Operator)
		c.Assert(err, qt.IsNil)
		c.Assert(have, qt.Equals, r)
	}
}

// readsAllowed is a tenth of what the configuration service serves a second.
const readsAllowed = 200

func TestReadsOfTheConfigurationServiceStayFew(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 8, Engines: 1})
	var before, after int
	c.Assert(Get(ctx, f.ConfigURL+"/reads", &before), qt.IsNil)
	begun := time.Now()
	for time.Since(begun) < 3*time.Second {
		publish(ctx, t, f, teamDoc(1+before%3))
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(Get(ctx, f.ConfigURL+"/reads", &after), qt.IsNil)
	rate := float64(after-before) / time.Since(begun).Seconds()
	c.Assert(rate < readsAllowed, qt.IsTrue, qt.Commentf("%.1f reads a second", rate))
}
