package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// Line is one measured figure.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Baseline is the same figure for direct calls or the relay, 0 if it is not measured.
	Baseline float64 `json:"baseline"`
	// Target is the value that the figure should not exceed, or that fleet_held should reach.
	Target float64 `json:"target,omitempty"`
}

// Writer writes figures as JSON lines.
type Writer struct {
	Out io.Writer
	// Notes receives the descriptions of failed requests.
	Notes io.Writer
}

// Write writes one figure.
func (w *Writer) Write(l Line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w.Out, string(text))
	return err
}

// quantile sorts durations and returns their q-quantile in milliseconds, 0 if there are none.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[int(q*float64(len(durations)-1))]) / float64(time.Millisecond)
}
