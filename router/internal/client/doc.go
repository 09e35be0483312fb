// Package client serves clients whose requests are routed by host and path prefix.
package client
