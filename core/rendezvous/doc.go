// Package rendezvous orders the upstreams of a service for a chat by rendezvous hashing.
package rendezvous
