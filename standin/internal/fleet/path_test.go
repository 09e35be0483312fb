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

// binDir is the directory of the programs under test, which TestMain builds.
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

// start starts a fleet and stops it when the test ends. The test fails unless every process ends cleanly.
func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.BinDir = binDir
	o.SettingsDir = t.TempDir()
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
				t.Logf("%s:\n%s", p.Name, logTail(p.Log()))
			}
		}
		qt.Check(t, f.Stop(), qt.IsNil)
	})
	return f
}

const logTailBytes = 3000

func logTail(text string) string {
	if len(text) > logTailBytes {
		return text[len(text)-logTailBytes:]
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

func chatRequest(text string) ChatRequest {
	return ChatRequest{Model: "answer", Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

func TestChatReturnsToItsCachedPrefixThroughEitherRouter(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 2, Engines: 3})
	req := chatRequest("Which bus goes to the museum on Friday, and may my daughter take her own lunch with her?")
	upstream := ""
	for turn := range 4 {
		res, err := client(t, f.Routers[turn%2].URL).Chat(ctx, req)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", res))
		c.Assert(res.Complete, qt.IsTrue)
		c.Assert(res.Tokens, qt.Equals, 24)
		if turn > 0 {
			c.Assert(res.Upstream, qt.Equals, upstream)
			c.Assert(res.CachedTokens > 0, qt.IsTrue)
		}
		upstream = res.Upstream
		req.Messages = append(req.Messages, Message{Role: "assistant", Content: res.Text}, Message{Role: "user", Content: "And then?"})
	}
}

func TestNonStreamedChatAndPlainCall(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, PlainServices: 2})
	cl := client(t, f.Routers[0].URL)
	req := chatRequest("Is the trip on?")
	req.Stream = false
	res, err := cl.Chat(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert(res.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", res))
	c.Assert(res.Text, qt.Contains, `"finish_reason":"stop"`)

	res, err = cl.CallPlain(ctx, http.MethodGet, "status", "/trips/7?full=1", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(res.Status, qt.Equals, http.StatusOK, qt.Commentf("%+v", res))
}

func TestInvalidRequestsGetOutcomeAndCode(t *testing.T) {
	c := qt.New(t)
	ctx := testContext(t)
	f := start(t, Options{Routers: 1, Engines: 1, PlainServices: 1})
	cl := client(t, f.Routers[0].URL)
	req := chatRequest("x")
	req.Model = "nobody"
	res, err := cl.Chat(ctx, req)
	c.Assert(err, qt.IsNil)
	c.Assert([]any{res.Status, res.Code, res.Outcome}, qt.DeepEquals, []any{http.StatusNotFound, "unknown_profile", "not_run"})
	cl.Team = settings.TeamID("strangers")
	res, err = cl.Chat(ctx, chatRequest("x"))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{res.Status, res.Code}, qt.DeepEquals, []any{http.StatusForbidden, "unknown_team"})
}
