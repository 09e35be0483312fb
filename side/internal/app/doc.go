// Package app assembles a side process from its services.
package app
