// Package configuration is a small stand-in for the platform's configuration service.
package configuration
