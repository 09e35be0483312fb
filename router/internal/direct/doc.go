// Package direct dispatches requests to upstreams that the router reaches itself, and determines their outcome.
package direct
