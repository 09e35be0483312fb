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

// maxPropagationTime is the target for the time until a revision is in force at every process.
const maxPropagationTime = 3 * time.Second

// revisionAt reads from a process's dump which revision is in force there.
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
	for _, r := range f.Routers {
		list = append(list, r.Operator)
	}
	for _, u := range f.Upstreams() {
		list = append(list, u.Operator)
	}
	return list
}

// waitInForce waits until a revision is in force at the given processes.
func waitInForce(ctx context.Context, t *testing.T, r settings.Revision, operators ...string) {
	t.Helper()
	startedAt := time.Now()
	for _, o := range operators {
		for {
			got, err := revisionAt(ctx, o)
			if err == nil && got >= r {
				break
			}
			if time.Since(startedAt) > maxPropagationTime {
				t.Fatalf("%s has revision %d after %s, want %d", o, got, time.Since(startedAt), r)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func teamDocument(share int) settings.Document {
	return settings.Document{Key: "teams/heads", Value: fmt.Sprintf("share: %d", share)}
}

func publish(ctx context.Context, t *testing.T, f *Fleet, docs ...settings.Document) settings.Revision {
	t.Helper()
	r, err := f.Publish(ctx, docs...)
	qt.Assert(t, err, qt.IsNil)
	return r
}

func setConfigurationFaults(ctx context.Context, t *testing.T, f *Fleet, faults configuration.Faults) {
	t.Helper()
	qt.Assert(t, Post(ctx, f.ConfigURL+"/faults", faults, nil), qt.IsNil)
}

func TestAcceptedRevisionIsInForceEverywhere(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 3, Engines: 3, PlainServices: 2})

	// Two revisions within a second.
	publish(ctx, t, f, teamDocument(2))
	second := publish(ctx, t, f, teamDocument(3))
	waitInForce(ctx, t, second, f.operators()...)

	// The service responds with an older revision than before.
	setConfigurationFaults(ctx, t, f, configuration.Faults{StaleRevision: 1})
	time.Sleep(time.Second)
	waitInForce(ctx, t, second, f.operators()...)
	setConfigurationFaults(ctx, t, f, configuration.Faults{})

	// An invalid revision is not applied at all, and the next valid one is accepted.
	bad := publish(ctx, t, f, teamDocument(-1))
	time.Sleep(time.Second)
	for _, o := range f.operators() {
		got, err := revisionAt(ctx, o)
		c.Assert(err, qt.IsNil)
		c.Assert(got < bad, qt.IsTrue)
	}
	good := publish(ctx, t, f, teamDocument(4))
	waitInForce(ctx, t, good, f.operators()...)

	// A router is paused while three revisions are published.
	c.Assert(f.Routers[0].Pause(ctx), qt.IsNil)
	for share := range 3 {
		good = publish(ctx, t, f, teamDocument(share+5))
		time.Sleep(300 * time.Millisecond)
	}
	waitInForce(ctx, t, good, f.operators()[1:]...)
	c.Assert(f.Routers[0].Resume(), qt.IsNil)
	waitInForce(ctx, t, good, f.operators()...)
}

func TestRestartsWhileTheServiceIsDownKeepTheRevision(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 2, PlainServices: 1})
	r := publish(ctx, t, f, teamDocument(2))
	waitInForce(ctx, t, r, f.operators()...)
	setConfigurationFaults(ctx, t, f, configuration.Faults{Down: true})
	for _, u := range f.Upstreams() {
		c.Assert(u.Side.Restart(ctx), qt.IsNil)
	}
	c.Assert(f.Routers[0].Restart(ctx), qt.IsNil)
	waitInForce(ctx, t, r, f.operators()...)
	res, err := client(t, f.Routers[0].URL).Chat(ctx, chatRequest("Still there?"))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Complete, qt.IsTrue)
}

func TestRestartedRouterIgnoresStaleRevisions(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 2})
	r := publish(ctx, t, f, teamDocument(2))
	waitInForce(ctx, t, r, f.operators()...)
	setConfigurationFaults(ctx, t, f, configuration.Faults{StaleRevision: 1})
	for range 5 {
		c.Assert(f.Routers[0].Restart(ctx), qt.IsNil)
		got, err := revisionAt(ctx, f.Routers[0].Operator)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, r)
	}
}

// maxReadsPerSecond is a tenth of the reads that the configuration service can serve.
const maxReadsPerSecond = 200

func TestConfigurationServiceReadRateIsBounded(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 8, Engines: 1})
	var before, after int
	c.Assert(Get(ctx, f.ConfigURL+"/reads", &before), qt.IsNil)
	startedAt := time.Now()
	for time.Since(startedAt) < 3*time.Second {
		publish(ctx, t, f, teamDocument(1+before%3))
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(Get(ctx, f.ConfigURL+"/reads", &after), qt.IsNil)
	rate := float64(after-before) / time.Since(startedAt).Seconds()
	c.Assert(rate < maxReadsPerSecond, qt.IsTrue, qt.Commentf("%.1f reads a second", rate))
}
