// Package inflight counts the requests that all routers together have open at each upstream.
package inflight
