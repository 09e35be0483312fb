// Package process reads the state of running processes over HTTP.
package process
