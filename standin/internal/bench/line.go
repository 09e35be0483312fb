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
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Baseline float64 `json:"baseline"`
	Target   float64 `json:"target,omitempty"`
}

// Writer writes lines as JSON, and notes for people beside them.
type Writer struct {
	Out   io.Writer
	Notes io.Writer
}

// Write writes one line.
func (w *Writer) Write(l Line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w.Out, string(text))
	return err
}

// quantile returns the q-th part of sorted durations in milliseconds.
func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
}
