package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// try is one requester attempt.
type try struct {
	id, method, path string
	prefix           string
	last             int
	resumes          string
	body             []byte
	left             time.Duration
}

// event is an event of a stream.
type event struct {
	n       int
	by      string
	version string
	final   bool
}

// result is what the requester sees of an attempt.
type result struct {
	status     int
	seal       string
	retryAfter time.Duration
	events     []event
	body       string
	// whole reports an answer that ended as its framing says; err is set otherwise.
	whole bool
	err   error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one attempt on a new channel.
func send(ctx context.Context, address string, t *try) result {
	ctx, cancel := context.WithTimeout(ctx, t.left)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return exchange(conn, bufio.NewReader(conn), t)
}

// exchange sends a request on a channel and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, t *try) (res result) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: forms.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		t.method, t.path, t.id, t.left.Milliseconds(), key)
	if t.prefix != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %d,40\r\nPrompt-Prefix: %s\r\n", tokens(t.prefix), t.prefix)
	}
	if t.last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", t.last, t.resumes)
	}
	if t.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(t.body))
	}
	b.WriteString("\r\n")
	b.Write(t.body)
	if _, res.err = conn.Write(b.Bytes()); res.err != nil {
		return res
	}
	answer, err := http.ReadResponse(reader, &http.Request{Method: t.method})
	if err != nil {
		res.err = err
		return res
	}
	defer answer.Body.Close()
	res.status, res.seal = answer.StatusCode, answer.Header.Get("Response-Seal")
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(s * float64(time.Second))
	}
	if answer.StatusCode == http.StatusOK && t.prefix != "" {
		res.readEvents(answer.Body)
		return res
	}
	text, err := io.ReadAll(answer.Body)
	res.body, res.err, res.whole = string(text), err, err == nil
	return res
}

func (res *result) readEvents(body io.Reader) {
	lines := bufio.NewReader(body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			res.whole = true
			return
		}
		if err != nil {
			res.err = err
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			e.n, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			var data struct {
				By, Version string
				Last        int
			}
			_ = json.Unmarshal([]byte(v), &data)
			e.by, e.version, e.final = data.By, data.Version, data.Last == e.n
		}
		if line == "" && e.n > 0 {
			res.events = append(res.events, e)
			e = event{}
		}
	}
}

// tokens adds up the parts of a prompt.
func tokens(prefix string) int {
	sum := 0
	for _, field := range strings.Split(prefix, ",") {
		_, text, _ := strings.Cut(field, ":")
		n, _ := strconv.Atoi(text)
		sum += n
	}
	return sum
}
