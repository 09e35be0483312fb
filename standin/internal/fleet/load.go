package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load generates requests from concurrent callers.
type Load struct {
	// Callers is the number of callers, each with one open request at a time.
	Callers int
	// URLs returns the base URLs of the routers, at least one. The callers are divided among them before each request, so a
	// router that is no longer listed gets no more requests, as behind a load balancer.
	URLs func() []string
	// Request sends the n-th request.
	Request func(ctx context.Context, c *Client, n int64) (Response, error)

	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

// maxRecordedFailures bounds the failures whose description is kept.
const maxRecordedFailures = 20

// LoadResult counts the requests of a load.
type LoadResult struct {
	Sent   int64
	Failed int64
	// Failures describes the first failed requests.
	Failures []string
}

// Run sends requests until ctx ends, waits for the open ones and returns their counts.
func (l *Load) Run(ctx context.Context) LoadResult {
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i := range l.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := NewClient("")
			defer c.Close()
			for ctx.Err() == nil {
				urls := l.URLs()
				c.URL = urls[i%len(urls)]
				n := l.sent.Add(1)
				// The end of the load does not cancel a request that has been sent.
				response, err := l.Request(context.WithoutCancel(ctx), c, n)
				if err == nil && response.Status == http.StatusOK && response.Complete {
					continue
				}
				failed.Add(1)
				l.recordFailure(fmt.Sprintf("request %d at %s: %v %+v", n, c.URL, err, response))
			}
		}()
	}
	wg.Wait()
	return LoadResult{Sent: l.sent.Load(), Failed: failed.Load(), Failures: l.failures}
}

func (l *Load) recordFailure(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxRecordedFailures {
		l.failures = append(l.failures, text)
	}
}

// ReadyURLs returns a function that lists the base URLs of the ready routers. It polls them once per pollInterval at most,
// and keeps its last list while no router is ready.
func (f *Fleet) ReadyURLs(ctx context.Context, pollInterval time.Duration) func() []string {
	var mu sync.Mutex
	var urls []string
	var polledAt time.Time
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		if len(urls) > 0 && time.Since(polledAt) < pollInterval {
			return urls
		}
		var ready []string
		for _, r := range f.Routers {
			if r.isReady(ctx) {
				ready = append(ready, r.URL)
			}
		}
		polledAt = time.Now()
		if len(ready) > 0 {
			urls = ready
		}
		return urls
	}
}
