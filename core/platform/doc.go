// Package platform reads the platform's configuration service and VM list.
package platform
