// Package rank orders the upstreams of a service for a chat by rendezvous hashing.
package rank
