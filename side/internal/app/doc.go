// Package app puts a side process together out of its services.
package app
