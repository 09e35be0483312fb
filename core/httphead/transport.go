package httphead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an HTTP transport that bounds the heads of the responses that it reads.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that works as base and takes it over. Above TLS the fields of a head are bounded by its bytes alone.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, fields: Fields{Limit: MaxFields, Response: true}}, nil
	}
	return &Transport{base: base}
}

// NewClient returns a client as http.DefaultClient is, whose transport bounds heads.
func NewClient() *http.Client {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		// A program has replaced it.
		return &http.Client{Transport: NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
	}
	return &http.Client{Transport: NewTransport(base.Clone())}
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginHead()
		}
	}}
	return t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn is a connection that fails to be read when a response has too many header fields.
type conn struct {
	net.Conn

	mu     sync.Mutex
	fields Fields
	// counts reports that a head has begun. Above TLS none does, whose bytes are not those of heads.
	counts bool
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counts {
		return n, err
	}
	if fieldsErr := c.fields.Read(p[:n]); fieldsErr != nil {
		return 0, fieldsErr
	}
	return n, err
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = true
	c.fields.Begin()
}
