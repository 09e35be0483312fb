// Package client implements the HTTP server for clients, whose requests are routed by host and path prefix.
package client
