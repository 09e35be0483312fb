// Package httplisten bounds the connections of an HTTP server.
package httplisten
