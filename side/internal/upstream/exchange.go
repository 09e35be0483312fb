package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/responsehead"
)

// maxInformational bounds the informational responses to one request.
const maxInformational = 16

// do sends a request and returns the head of the response. If it fails, sent reports whether the upstream may have the request.
func (c *Client) do(req *http.Request) (res *http.Response, sent bool, err error) {
	var x exchange
	res, err = c.http.Do(req.WithContext(x.trace(req.Context())))
	if err != nil {
		return nil, x.hasConn(), err
	}
	if err := responsehead.Check(res); err != nil {
		// The transport may keep the connection after a response without a body.
		x.closeConn()
		_ = res.Body.Close()
		return nil, true, err
	}
	return res, true, nil
}

// exchange is one request and what the transport reports of it.
type exchange struct {
	mu            sync.Mutex
	conn          net.Conn
	write         *requestWrite
	informational int
}

// trace returns a context with which the transport reports to the exchange.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: x.gotConn, WroteRequest: x.wroteRequest, Got1xxResponse: x.got1xxResponse,
	})
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = info.Conn
	nc := info.Conn
	if upper, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = upper.NetConn()
	}
	if conn, ok := nc.(*upstreamConn); ok {
		x.write = conn.begin()
	}
}

func (x *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.write != nil {
		x.write.end(info.Err)
	}
}

// got1xxResponse checks an informational response. Its error ends the request.
func (x *exchange) got1xxResponse(status int, header textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.informational++; x.informational > maxInformational {
		return errors.Newf("more than %d informational responses", maxInformational)
	}
	return responsehead.Check(&http.Response{
		Proto: "HTTP/1.1", ProtoMajor: 1, Status: strconv.Itoa(status), StatusCode: status, Header: http.Header(header),
	})
}

// hasConn reports whether the request has had a connection.
func (x *exchange) hasConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil
}

// closeConn closes the connection.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.conn.Close()
}
