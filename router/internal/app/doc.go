// Package app assembles a router process from its services and runs it.
package app
