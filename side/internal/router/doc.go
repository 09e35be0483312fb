// Package router serves routers: it admits, queues, runs and cancels what they submit, and vouches for its outcome.
package router
