package ticket

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

func TestTicketIsValidOnlyForIssuingIncarnation(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	first, err := NewIssuer("desk-1", "incarnation-1")
	c.Assert(err, qt.IsNil)
	second, err := NewIssuer("desk-1", "incarnation-2")
	c.Assert(err, qt.IsNil)
	text, err := first.Issue(now)
	c.Assert(err, qt.IsNil)
	claims, err := ParseUnverified(text)
	c.Assert(err, qt.IsNil)
	c.Assert(string(claims.Upstream), qt.Equals, "desk-1")

	var invalid *InvalidError
	c.Assert(first.Check(now, text, time.Minute), qt.IsNil)
	c.Assert(errors.As(second.Check(now, text, time.Minute), &invalid), qt.IsTrue)
	c.Assert(errors.As(first.Check(now.Add(time.Minute), text, time.Minute), &invalid), qt.IsTrue)
	c.Assert(errors.As(first.Check(now, text+"x", time.Minute), &invalid), qt.IsTrue)
}

func FuzzParseUnverified(f *testing.F) {
	f.Add("")
	f.Add("a.b")
	f.Add("lKZkZXNrLTE.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := ParseUnverified(text)
		var invalid *InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
