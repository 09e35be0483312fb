// Package candidates decides in which order a router asks sides to take a chat.
package candidates
