// Package configuration reads the configuration service and the VM list for a router.
package configuration
