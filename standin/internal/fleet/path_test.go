package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// binDir holds the programs under test, built once.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rattantrack-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, program := range []string{"router", "side", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "./"+program)
		build.Dir = "../../.."
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// start starts a fleet that is stopped cleanly when the test ends.
func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Bin = binDir
	o.Dir = t.TempDir()
	if o.DrainTime == 0 {
		o.DrainTime = 10 * time.Second
	}
	if o.NoticeTime == 0 {
		o.NoticeTime = 200 * time.Millisecond
	}
	f, err := Start(context.Background(), o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range f.started {
				t.Logf("%s:\n%s", p.Name, tail(p.Log()))
			}
		}
		qt.Check(t, f.Stop(), qt.IsNil)
	})
	return f
}

const tailBytes = 3000

func tail(text string) string {
	if len(text) > tailBytes {
		return text[len(text)-tailBytes:]
	}
	return text
}

func client(t *testing.T, url string) *Client {
	c := NewClient(url)
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func question(text string) ChatRequest {
	return ChatRequest{Model: "answer", Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

func TestChatReturnsToItsPrefixThroughEitherRouter(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3})
	q := question("Which bus goes to the museum on Friday, and may my daughter take her own lunch with her?")
	served := ""
	for turn := range 4 {
		a, err := client(t, f.Routers[turn%2].URL).Chat(ctx, q)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
		c.Assert(a.Whole, qt.IsTrue)
		c.Assert(a.Tokens, qt.Equals, 24)
		if turn > 0 {
			c.Assert(a.Upstream, qt.Equals, served)
			c.Assert(a.Cached > 0, qt.IsTrue)
		}
		served = a.Upstream
		q.Messages = append(q.Messages, Message{Role: "assistant", Content: a.Text}, Message{Role: "user", Content: "And then?"})
	}
}

func TestWholeBodyChatAndPlainCall(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, Plains: 2})
	cl := client(t, f.Routers[0].URL)
	q := question("Is the trip on?")
	q.Stream = false
	a, err := cl.Chat(ctx, q)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
	c.Assert(a.Text, qt.Contains, `"finish_reason":"stop"`)

	a, err = cl.Plain(ctx, http.MethodGet, "status", "/trips/7?full=1", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
}

func TestMistakesAreAnsweredWithOutcomeAndCode(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, Plains: 1})
	cl := client(t, f.Routers[0].URL)
	q := question("x")
	q.Model = "nobody"
	a, err := cl.Chat(ctx, q)
	c.Assert(err, qt.IsNil)
	c.Assert([]any{a.Status, a.Code, a.Outcome}, qt.DeepEquals, []any{http.StatusNotFound, "unknown_profile", "not_run"})
	cl.Team = settings.TeamID("strangers")
	a, err = cl.Chat(ctx, question("x"))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{a.Status, a.Code}, qt.DeepEquals, []any{http.StatusForbidden, "unknown_team"})
}
