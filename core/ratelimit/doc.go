// Package ratelimit keeps the rates that overloaded upstreams name for the requests of all routers together.
package ratelimit
