// Package httplisten bounds the connections of an HTTP server, and ends them when the server stops.
package httplisten
