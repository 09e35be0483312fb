package httplisten

import (
	"net/http"
	"sync/atomic"
)

// announcingWriter announces in each response of a stopping server that its connection ends. What counts is when the response begins.
type announcingWriter struct {
	http.ResponseWriter
	stopping  *atomic.Bool
	announced bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the response, unless the status is informational.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write appends to the body.
func (w *announcingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what has been written.
func (w *announcingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush is FlushError for callers that need no error.
func (w *announcingWriter) Flush() { _ = w.FlushError() }

func (w *announcingWriter) announce() {
	if !w.announced {
		w.announced = true
		if w.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
	}
}
