// Package platform keeps a router up to date with the configuration service and the VM list.
package platform
