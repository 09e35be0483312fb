// Package unresponsive finds upstreams that take requests and answer nothing, by what all routers hear of them.
package unresponsive
