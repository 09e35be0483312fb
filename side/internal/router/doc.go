// Package router serves the routers: it admits, queues, runs and cancels the attempts that they submit, and reports
// their outcomes.
package router
