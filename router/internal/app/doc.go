// Package app assembles a router process from its services and runs it: a Router, which sends calls through the sides of
// upstreams, or a Direct, which sends requests to the upstreams itself.
package app
