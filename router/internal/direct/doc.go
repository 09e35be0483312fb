// Package direct takes requests to upstreams that the router reaches itself, and answers for their outcome.
package direct
