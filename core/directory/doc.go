// Package directory defines what a router reads from the platform's directory: the declarations and the upstream
// instances.
package directory
