// Package routing finds the route of a request by host and path prefix, and the team of an API key.
package routing
