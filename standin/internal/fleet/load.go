package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load is a bounded stream of requests from concurrent callers.
type Load struct {
	// Callers is the number of callers, each with one request open at a time.
	Callers int
	// URLs are the routers, used in turn; a caller leaves a router that is not ready, as the balancer would.
	URLs func() []string
	// Request makes the n-th request.
	Request func(ctx context.Context, c *Client, n int64) (Answer, error)

	sent atomic.Int64
	mu   sync.Mutex
	bad  []string
}

// maxBad bounds the failures that are kept in words.
const maxBad = 20

// Tally is what became of a load.
type Tally struct {
	Sent   int64
	Failed int64
	Words  []string
}

// Run sends requests until ctx ends and returns what became of them.
func (l *Load) Run(ctx context.Context) Tally {
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
				// A request that was begun is waited for, also when the load ends.
				a, err := l.Request(context.WithoutCancel(ctx), c, n)
				if err == nil && a.Status == http.StatusOK && a.Whole {
					continue
				}
				failed.Add(1)
				l.note(fmt.Sprintf("request %d at %s: %v %+v", n, c.URL, err, a))
			}
		}()
	}
	wg.Wait()
	return Tally{Sent: l.sent.Load(), Failed: failed.Load(), Words: l.bad}
}

func (l *Load) note(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bad) < maxBad {
		l.bad = append(l.bad, text)
	}
}

// ReadyURLs returns the routers that report ready, asked at most every poll.
func (f *Fleet) ReadyURLs(ctx context.Context, poll time.Duration) func() []string {
	var mu sync.Mutex
	var urls []string
	var asked time.Time
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		if len(urls) > 0 && time.Since(asked) < poll {
			return urls
		}
		var ready []string
		for _, e := range f.Routers {
			if e.isReady(ctx) {
				ready = append(ready, e.URL)
			}
		}
		asked = time.Now()
		if len(ready) > 0 {
			urls = ready
		}
		return urls
	}
}
