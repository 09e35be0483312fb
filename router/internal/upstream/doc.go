// Package upstream is an HTTP/1.1 client for upstreams, with one request at a time on each connection.
package upstream
