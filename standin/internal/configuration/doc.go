// Package configuration simulates the platform's configuration service for tests and the demo.
package configuration
