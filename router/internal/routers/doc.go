// Package routers exchanges state with the other routers: open requests, cache entries, instances and router addresses.
package routers
