// Package upstream speaks HTTP/1.1 to the upstreams, one request at a time on each connection.
package upstream
