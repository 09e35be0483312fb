// Package quarantine finds prompt blocks that crash the upstreams which begin to answer requests with them (queries of death), from
// the crashes that all routers report, and keeps requests with these blocks away from the upstreams.
package quarantine
