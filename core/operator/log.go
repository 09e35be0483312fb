package operator

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLog returns a logger that writes JSON lines naming the program.
func NewLog(w io.Writer, program string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter})
	return l.With("program", program)
}
