// Package crashes exchanges with the other routers what each has seen of crashes of upstreams.
package crashes
