// Package members keeps the instances of the upstreams, each identified by its id and the start of its process.
package members
