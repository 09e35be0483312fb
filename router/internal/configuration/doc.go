// Package configuration keeps a router up to date with the configuration service and the VM list.
package configuration
