// Package process asks running processes for their state.
package process
