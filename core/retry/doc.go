// Package retry limits retries to a share of the requests, for one process or for a fleet of routers.
package retry
