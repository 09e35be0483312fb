// Package polling decides which routers poll the platform's directory. The others receive its changes from them.
package polling
