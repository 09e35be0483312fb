package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	for _, dir := range []string{"kanem", "clachan"} {
		code, out, errOut := run("check", filepath.Join("../../../examples", dir))
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
		qt.Assert(t, out, qt.Contains, "is valid")
	}
}

func TestCheckReportsEveryProblemWithItsLine(t *testing.T) {
	c := qt.New(t)
	code, out, _ := run("--json", "check", "testdata/faulty")
	c.Assert(code, qt.Equals, 2)
	var problems settings.Problems
	c.Assert(json.Unmarshal([]byte(out), &problems), qt.IsNil)
	want := map[string]int{
		"colour":                   4,
		"profiles.answer.deadline": 5,
		"profiles.answer.service":  2,
		"profiles.debit.retries":   9,
		"services.desk.kind":       2,
		"upstreams.desk-01.side":   1,
		"teams.parents.share":      1,
	}
	for _, p := range problems {
		line, expected := want[p.Field]
		c.Assert(expected, qt.IsTrue, qt.Commentf("%+v", p))
		c.Assert(p.Line, qt.Equals, line, qt.Commentf("%+v", p))
		delete(want, p.Field)
	}
	c.Assert(want, qt.HasLen, 0)
}

func TestExplainDescribesAtMostOnceExecution(t *testing.T) {
	code, out, _ := run("explain", "../../../examples/kanem", "debit-fee")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, "at most once")
}

func TestDiffShowsChangedLines(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	c.Assert(os.CopyFS(dir, os.DirFS("../../../examples/kanem")), qt.IsNil)
	path := filepath.Join(dir, "services.yaml")
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	changed := strings.Replace(string(text), "multiple: 1.25", "multiple: 1.4", 1)
	c.Assert(os.WriteFile(path, []byte(changed), 0o600), qt.IsNil)
	code, out, _ := run("diff", "../../../examples/kanem", dir)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "changed  services/letterhouse\n  - multiple: 1.25\n  + multiple: 1.4\n")
}

func TestUsageErrorsExitWithCodeTwo(t *testing.T) {
	code, _, errOut := run("check")
	qt.Assert(t, code, qt.Equals, 2)
	qt.Assert(t, errOut, qt.Not(qt.Equals), "")
}
