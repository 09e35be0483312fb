// Package inflight counts the requests that the routers together have open at each upstream.
package inflight
