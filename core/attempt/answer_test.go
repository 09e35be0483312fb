package attempt

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAnswerOfAnotherRunIsNotAddedToBegunAnswer guards against heads, errors and bodies in the middle of an answer.
func TestAnswerOfAnotherRunIsNotAddedToBegunAnswer(t *testing.T) {
	for status := 200; status < 600; status++ {
		for _, stream := range []bool{false, true} {
			for _, d := range []Delivered{Events, Part} {
				use := UseOf(Answer{Status: status, Stream: stream}, d)
				wantStream := stream && status == 200 && d == Events
				qt.Check(t, use == UseStream, qt.Equals, wantStream, qt.Commentf("%d %v %s", status, stream, d))
				qt.Check(t, use == UseBody || use == UseFinal, qt.IsFalse, qt.Commentf("%d %v %s: %s", status, stream, d, use))
			}
		}
	}
}

func TestUseOf(t *testing.T) {
	tests := []struct {
		answer    Answer
		delivered Delivered
		want      Use
	}{
		{Answer{Status: 200}, Nothing, UseBody},
		{Answer{Status: 302, Stream: true}, Nothing, UseBody},
		{Answer{Status: 200, Stream: true}, Nothing, UseStream},
		{Answer{Status: 200, Stream: true}, Events, UseStream},
		{Answer{Status: 206, Stream: true}, Events, UseNone},
		{Answer{Status: 404}, Nothing, UseFinal},
		{Answer{Status: 404, Stream: true}, Events, UseNone},
		{Answer{Status: 500, Stream: true}, Events, UseFailure},
		{Answer{Status: 503}, Nothing, UseUnconfirmed},
		{Answer{Status: 503, NotRun: true}, Nothing, UseRefusal},
		{Answer{Status: 200, NotRun: true}, Events, UseRefusal},
	}
	for _, tt := range tests {
		qt.Check(t, UseOf(tt.answer, tt.delivered), qt.Equals, tt.want, qt.Commentf("%+v %q", tt.answer, tt.delivered))
	}
}
