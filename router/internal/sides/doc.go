// Package sides sends calls to the side processes of upstreams, retries them where that is safe, and determines their outcome.
package sides
