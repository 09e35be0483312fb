// Package directory holds what a router reads of the platform: the declarations and the instances of the upstreams.
package directory
