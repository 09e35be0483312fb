// Package rendezvous orders upstreams for a key by rendezvous hashing.
package rendezvous
