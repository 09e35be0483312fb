package httplisten

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/connections"
)

// Limit bounds the open connections of a server and ends them when it stops. Before the server serves, Apply must be called for it. A nil Limit has no
// bound.
type Limit struct {
	// Port names the port in logs and metrics.
	Port string
	// Connections is the largest number of open connections, HeaderFields that of the header fields of a request, 0 for no limit.
	Connections  int
	HeaderFields int
	Log          *log.Logger
	Scope        tally.Scope

	mu   sync.Mutex
	open map[*conn]struct{}
	// listeners are those that have not been closed.
	listeners map[*listener]struct{}
	// closed and refused count since lastLog.
	closed, refused int
	lastLog         clock.Instant
	stopped         stopCount
	// stopping reports that the server stops, and acceptEnd is when its listener is closed at the latest.
	stopping  atomic.Bool
	acceptEnd atomic.Int64
	// headerTime bounds the reading of a head.
	headerTime time.Duration
}

// logInterval is the shortest time between two log lines about connections that were closed, which a client could otherwise cause at will.
const logInterval = 5 * time.Second

var processStart = time.Now()

// monotonic returns the time since the start of the process, which takes no system call.
func monotonic() clock.Instant { return clock.Instant(time.Since(processStart)) }

type connKey struct{}

// Apply makes a server tell the limit which connections carry a request. The server must serve the listener that Listen returns.
func (l *Limit) Apply(srv *http.Server) {
	if l == nil {
		return
	}
	l.headerTime = srv.ReadHeaderTimeout
	connContext, connState, handler := srv.ConnContext, srv.ConnState, srv.Handler
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, unwrap(nc))
	}
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			switch state {
			case http.StateIdle:
				c.setAwaiting()
			case http.StateActive:
				c.setActive()
			}
		}
		onFieldsState(nc, state)
		if connState != nil {
			connState(nc, state)
		}
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, _ := req.Context().Value(connKey{}).(*conn); c != nil {
			c.handled.Store(true)
		}
		if req.ContentLength == 0 {
			Serving(req.Context())
		}
		announcing := &announcingWriter{ResponseWriter: w, stopping: &l.stopping}
		handler.ServeHTTP(announcing, req)
		// A handler that has written nothing leaves the response to the server.
		announcing.announce()
	})
}

// Serving records that the request of a context has been received completely. Its connection is kept until it is answered.
func Serving(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*conn); c != nil {
		c.served.Store(true)
		c.serving.Store(true)
	}
}

// unwrap returns the limited connection below the layers of a server, nil if there is none.
func unwrap(nc net.Conn) *conn {
	c, _ := layer[*conn](nc)
	return c
}

// layer returns the layer of a type below a connection, if there is one.
func layer[T net.Conn](nc net.Conn) (found T, ok bool) {
	for nc != nil {
		if found, ok = nc.(T); ok {
			return found, true
		}
		upper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = upper.NetConn()
	}
	return found, false
}

// Listen returns a listener that keeps the connections of ln within the limit, with TLS if there is a configuration for it.
func (l *Limit) Listen(ln net.Listener, cfg *tls.Config) net.Listener {
	if l != nil {
		ln = l.register(&listener{Listener: ln, limit: l, encrypted: cfg != nil})
	}
	if cfg != nil {
		ln = &encryptedListener{Listener: ln, cfg: cfg}
	}
	if l == nil || l.HeaderFields == 0 {
		return ln
	}
	return &fieldsListener{Listener: ln, limit: l.HeaderFields}
}

// add registers a connection, and closes another one if there are too many. It returns false if none could be closed.
func (l *Limit) add(c *conn) bool {
	now := monotonic()
	l.mu.Lock()
	if l.open == nil {
		l.open = make(map[*conn]struct{})
	}
	var victim *conn
	full := l.Connections > 0 && len(l.open) >= l.Connections
	if full {
		victim = l.victim(now)
	}
	ok := !full || victim != nil
	if ok {
		l.open[c] = struct{}{}
	}
	if full {
		l.count(now, ok)
	}
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	return ok
}

// maxLooks bounds the search for a connection to close on which no request has arrived.
const maxLooks = 4

// victim returns the connection to close, nil if all carry requests; l.mu is held. One on which a request has arrived that nobody has read is spared
// if one of the next can be closed instead.
func (l *Limit) victim(now clock.Instant) *conn {
	conns := make([]*conn, 0, len(l.open))
	list := make([]connections.Connection, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
		list = append(list, connections.Connection{
			Serving: c.serving.Load(), Served: c.served.Load(), LastRead: clock.Instant(c.lastRead.Load()),
		})
	}
	var first *conn
	for range maxLooks {
		i := connections.Victim(now, list)
		if i < 0 {
			break
		}
		if !conns[i].hasUnread() {
			return conns[i]
		}
		first = cmp.Or(first, conns[i])
		list[i].Serving = true
	}
	return first
}

// count counts a connection that was closed for another one or refused, and logs both from time to time; l.mu is held.
func (l *Limit) count(now clock.Instant, accepted bool) {
	action := "closed"
	if accepted {
		l.closed++
	} else {
		l.refused++
		action = "refused"
	}
	l.Scope.Tagged(map[string]string{"port": l.Port, "action": action}).Counter("connections_over_limit").Inc(1)
	if l.lastLog != 0 && now.Sub(l.lastLog) < logInterval {
		return
	}
	l.Log.Warn("too many connections", "port", l.Port, "limit", l.Connections, "closed", l.closed, "refused", l.refused)
	l.lastLog, l.closed, l.refused = now, 0, 0
}

// Open returns the number of open connections.
func (l *Limit) Open() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
