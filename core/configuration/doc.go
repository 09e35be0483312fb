// Package configuration reads the platform's configuration service and VM list.
package configuration
