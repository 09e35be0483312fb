// Package unresponsive detects upstreams that accept requests but do not respond, from the observations of all routers.
package unresponsive
