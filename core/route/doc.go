// Package route decides in which order a router asks sides to take a chat.
package route
