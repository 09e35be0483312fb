// Package directory follows the platform's directory: declarations and instances.
package directory
