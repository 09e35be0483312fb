package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamEvents is the number of events of a stream, eventPause the time between two.
const (
	streamEvents   = 60
	eventPause     = 50 * time.Millisecond
	tokensPerEvent = 5
)

// The times of the kills, and how long a killed machine is away.
const (
	firstKill = 20 * time.Second
	killEvery = 5 * time.Second
	kills     = 3
	downTime  = 500 * time.Millisecond
	// inTouchTime is stable-ms of the site.
	inTouchTime = 4 * time.Second
)

// takeUps kills three machines one after the other, whose requesters take their streams up again at machines in touch. All runners have one
// software version. Without the trouble, the requesters close their channels to these machines and take the streams up.
func takeUps(root string, rec *record, trouble bool) (bool, error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	st.put("op/config", configuration(2, true))
	for i := range 12 {
		e := &engine{store: st, service: "letters", version: "v1", slots: 64}
		e.handle = func(e *engine, p *engineProcess, w http.ResponseWriter, req *http.Request) {
			first := 1
			if last := req.Header.Get("Last-Event-Id"); last != "" {
				n, _ := strconv.Atoi(last)
				first = n + 1
			}
			if !p.wait(req, 30*time.Millisecond) {
				panic(http.ErrAbortHandler)
			}
			rec.line("runner %s runs %s from event %d", p.id, req.Header.Get("Attempt-Id"), first)
			p.hold(req)
			w.Header().Set("Response-Seal", "seal-"+p.id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Server-Load", "1,0,64")
			for i := first; i <= streamEvents; i++ {
				fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
				w.(http.Flusher).Flush()
				p.grow(req, tokensPerEvent)
				if !p.wait(req, eventPause) {
					panic(http.ErrAbortHandler)
				}
			}
		}
		if err := e.start(fmt.Sprintf("%02d", i)); err != nil {
			return false, err
		}
	}
	f, err := newFleet(root, st, 4)
	if err != nil {
		return false, err
	}
	defer f.end()
	if err := f.startAll(true); err != nil {
		return false, err
	}
	rec.line("4 machines are ready")
	var mu sync.Mutex
	var begun, asked, takenUp, wentOn int
	// calmSince holds since when each machine is undisturbed. broken ends the channels of a machine's requesters.
	calmSince := map[*routerProcess]time.Time{}
	broken, breakOff := map[*routerProcess]context.Context{}, map[*routerProcess]context.CancelFunc{}
	for _, r := range f.routers {
		broken[r], breakOff[r] = context.WithCancel(context.Background())
	}
	// inTouch returns a machine in touch, the n-th one as far as possible.
	inTouch := func(n int) *routerProcess {
		mu.Lock()
		defer mu.Unlock()
		for i := range f.routers {
			if r := f.routers[(n+i)%len(f.routers)]; time.Since(calmSince[r]) >= inTouchTime {
				return r
			}
		}
		return f.routers[len(f.routers)-1]
	}
	// attempt sends one requester attempt and returns its id and the last event, whether the stream is whole, and whether events came.
	attempt := func(r *routerProcess, prompt, resumes string, last int) (id string, at int, whole, got bool, pause time.Duration) {
		id = fmt.Sprintf("%016x", rand.Uint64())
		mu.Lock()
		ctx := broken[r]
		mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/letter/2f", r.ip, f.caller), strings.NewReader("body of "+prompt))
		req.Host = "desk.example"
		for name, value := range map[string]string{
			"Attempt-Id": id, "Authorization": "Token k1", "Deadline-Ms": "12000", "Model": "m",
			"Token-Usage": fmt.Sprintf("%d,300", tokens(prompt)), "Prompt-Prefix": prompt,
		} {
			req.Header.Set(name, value)
		}
		if resumes != "" {
			req.Header.Set("Resumes", resumes)
			req.Header.Set("Last-Event-Id", strconv.Itoa(last))
		}
		at = last
		res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			rec.line("%s at %s (resumes %q after %d): %v", id, r.name, resumes, last, err)
			return id, at, false, false, 0
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			b, _ := io.ReadAll(io.LimitReader(res.Body, 300))
			seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			rec.line("%s at %s (resumes %q after %d): %d %s, Retry-After %v", id, r.name, resumes, last, res.StatusCode, b, seconds)
			return id, at, false, false, time.Duration(seconds * float64(time.Second))
		}
		s := bufio.NewScanner(res.Body)
		for s.Scan() {
			if text, ok := strings.CutPrefix(s.Text(), "id: "); ok {
				at, _ = strconv.Atoi(text)
				got = true
			}
		}
		rec.line("%s at %s (resumes %q after %d): 200 up to event %d, %v", id, r.name, resumes, last, at, s.Err())
		return id, at, at == streamEvents, got, 0
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			wg.Go(func() {
				prompt := fmt.Sprintf("a1:512,5%03x:580,%x:130", n%40, rand.Uint64())
				r := inTouch(n)
				id, last, whole, got, _ := attempt(r, prompt, "", 0)
				mu.Lock()
				asked++
				if got {
					begun++
				}
				mu.Unlock()
				if whole || !got {
					return
				}
				mu.Lock()
				takenUp++
				mu.Unlock()
				// A requester retries a few times, on a new channel each.
				for range 3 {
					_, _, _, on, pause := attempt(inTouch(rand.IntN(len(f.routers))), prompt, id, last)
					if on {
						mu.Lock()
						wentOn++
						mu.Unlock()
						return
					}
					time.Sleep(pause)
				}
			})
		}
	})
	time.Sleep(firstKill)
	for _, r := range f.routers[:kills] {
		mu.Lock()
		calmSince[r] = time.Now()
		end := breakOff[r]
		broken[r], breakOff[r] = context.WithCancel(context.Background())
		before := wentOn
		mu.Unlock()
		if trouble {
			rec.say("%s is killed", r.name)
			r.signal(syscall.SIGKILL)
			<-r.done
			time.Sleep(downTime)
			if err := r.run(false); err != nil {
				return false, err
			}
		} else {
			rec.say("the requesters of %s close their channels", r.name)
			end()
			time.Sleep(downTime)
		}
		time.Sleep(killEvery - downTime)
		mu.Lock()
		rec.say("until now taken up: %d, went on: %d (%d of the last ones)", takenUp, wentOn, wentOn-before)
		mu.Unlock()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	rec.say("new streams: %d of %d began; taken up: %d, of which %d went on", begun, asked, takenUp, wentOn)
	if takenUp < 12 {
		return false, fmt.Errorf("too few streams were taken up")
	}
	return float64(wentOn)/float64(takenUp) >= 0.5*float64(begun)/float64(asked), nil
}
