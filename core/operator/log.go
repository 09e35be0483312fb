package operator

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLog returns a logger that writes JSON lines with the program's name.
func NewLog(w io.Writer, program string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter})
	return l.With("program", program)
}
