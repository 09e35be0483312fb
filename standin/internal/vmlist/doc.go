// Package vmlist is a small stand-in for the platform's lagging list of VMs.
package vmlist
