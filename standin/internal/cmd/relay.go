package cmd

import (
	"context"
	"net/http"
	"sync/atomic"
)

// relayBufferBytes is larger than one event of a stream.
const relayBufferBytes = 4 << 10

type relayCmd struct {
	Listen  string   `required:"" help:"Address to serve on."`
	Targets []string `required:"" help:"Base URLs of engines, used in turn."`

	next atomic.Uint64
}

// Run serves a relay without any routing decision until ctx ends. Measurements use it as the baseline for a router's cost.
func (c *relayCmd) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, http.HandlerFunc(c.relay))
}

// relay forwards a request to the next target and copies the response, with a flush after each read.
func (c *relayCmd) relay(w http.ResponseWriter, r *http.Request) {
	target := c.Targets[c.next.Add(1)%uint64(len(c.Targets))]
	req, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	req.Header = r.Header.Clone()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, "unreachable", http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	w.Header().Set("Content-Type", res.Header.Get("Content-Type"))
	w.WriteHeader(res.StatusCode)
	flush, _ := w.(http.Flusher)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if _, writeErr := w.Write(buf[:n]); writeErr != nil {
			return
		}
		if flush != nil {
			flush.Flush()
		}
		if err != nil {
			return
		}
	}
}
