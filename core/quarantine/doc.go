// Package quarantine finds requests, and prompt blocks of requests, that crash the upstreams which begin to answer them (queries of
// death), from the crashes that all routers report, and keeps them away from the upstreams.
package quarantine
