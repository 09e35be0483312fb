package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early-answer-reset"] = earlyAnswerReset }

// desk is a plain service's runner that answers before it has read a long body, without a length, so that its answer ends with its
// channel. It reads the rest of the body later. It crashes in the middle of an answer if that is due.
type desk struct {
	r  *runner
	ln net.Listener
	// halt reports whether the process ends in the middle of the answer to a request.
	halt func() bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

const answerLines = 40

// window is the size of a runner's receive buffer, and bodyBytes that of a request. The pages allow bodies of 4,194,304 bytes.
const (
	window    = 64 << 10
	bodyBytes = 4_000_000
)

// text is the whole answer to a request.
func text(id string) string {
	var b strings.Builder
	for i := range answerLines {
		fmt.Fprintf(&b, "%s line %d of %d: consent recorded\n", id, i+1, answerLines)
	}
	return b.String()
}

func startDesk(r *runner, address string, halt func() bool) *desk {
	if address == "" {
		address = "127.0.0.1:0"
	}
	// The windows of links are small, as the pages say.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
		return errors.Join(err, set)
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		cannotRun("runner %s: %v", r.id, err)
	}
	d := &desk{r: r, ln: ln, halt: halt, conns: map[net.Conn]bool{}}
	r.address, r.born, r.down, r.srv = ln.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), &http.Server{}
	r.rec.add("runner %s (%s %s) starts at %s", r.id, r.service, r.version, r.address)
	r.register()
	go func() {
		for {
			select {
			case <-r.down:
				return
			case <-time.After(heartbeat):
				r.register()
			}
		}
	}()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[conn] = true
			d.mu.Unlock()
			go d.serve(conn)
		}
	}()
	return d
}

// end ends the process: the system closes its port and its channels, those with unread bytes by a reset.
func (d *desk) end(why string) {
	_ = d.ln.Close()
	d.mu.Lock()
	for c := range d.conns {
		_ = c.Close()
	}
	d.mu.Unlock()
	d.r.crash(why)
}

func (d *desk) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, length := req.Header.Get("Attempt-Id"), req.ContentLength
		if t := req.Header.Get("Target-Instance"); t != d.r.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
			return
		}
		run := d.r.rec.run(id, d.r, req, nil)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nResponse-Seal: %s.%s.%d\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
			id, d.r.id, d.r.id, id, run)
		whole := text(id)
		_, _ = io.WriteString(conn, head+whole[:len(whole)/2])
		time.Sleep(100 * time.Millisecond)
		if length > 100_000 && d.halt() {
			d.r.rec.add("request %s: the answer of %s is broken off after %d of %d bytes", id, d.r.id, len(whole)/2, len(whole))
			d.end("crash in the middle of the answer to " + id)
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, whole[len(whole)/2:])
		d.r.rec.add("request %s: whole answer of %d bytes sent by %s, body of %s bytes read: %d, %v", id, len(whole), d.r.id, strconv.FormatInt(length, 10), n, err)
		return
	}
}

// earlyAnswerReset: runners crash in the middle of an answer that has no length, before they have read the whole body.
func earlyAnswerReset(rec *record, trouble bool) fault {
	const routers, runners, requests = 3, 4, 24
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{plainRoute("r-commit", "/commit/", "permit-desk", "unsafe", 1)}, plainService("permit-desk")))
	var mu sync.Mutex
	next := 0
	var launch func(address string)
	due := 0
	launch = func(address string) {
		mu.Lock()
		next++
		r := &runner{id: fmt.Sprintf("i-%04d", next), service: "permit-desk", zone: "kano", version: "v1", slots: 6, queue: 24, rec: rec, store: f.store}
		mu.Unlock()
		r.onCrash = func(r *runner) { time.AfterFunc(2*time.Second, func() { launch("") }) }
		startDesk(r, address, func() bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || due == 0 {
				return false
			}
			due--
			return true
		})
	}
	for range runners {
		launch("")
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(time.Second)
	broken, whole := 0, 0
	for i := range requests {
		if i%4 == 3 {
			mu.Lock()
			due = 1
			mu.Unlock()
		}
		body := make([]byte, bodyBytes)
		for j := range body {
			body[j] = byte('a' + rand.IntN(26))
		}
		t := &try{id: newID(), method: http.MethodPost, path: "/commit/new", body: body, left: 4 * time.Second}
		rec.add("request %s sent to router %d, body %d bytes", t.id, 1+i%routers, len(body))
		res := send(context.Background(), f.front(1+i%routers), t)
		rec.add("request %s answered: status %d, seal %q, %d bytes of %d, complete %v, error %v", t.id, res.status, res.seal, len(res.body), len(text(t.id)), res.whole, res.err)
		if res.status == http.StatusOK && res.whole {
			whole++
			if res.body != text(t.id) {
				broken++
				rec.add("request %s: a success whose body is not the runner's whole body, and looks complete", t.id)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	rec.add("%d complete successes, %d of them cut", whole, broken)
	if !trouble && whole < requests {
		cannotRun("%d of %d requests served without the disruption", whole, requests)
	}
	if broken > 0 {
		return fault(fmt.Sprintf("MIXED: %d of %d answers that were reset on the way look complete to the requester", broken, requests/4))
	}
	return ""
}
