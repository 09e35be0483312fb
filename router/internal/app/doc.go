// Package app puts a router process together out of its services.
package app
