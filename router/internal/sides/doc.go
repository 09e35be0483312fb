// Package sides takes callers' requests to the side processes of upstreams and answers for their outcome.
package sides
