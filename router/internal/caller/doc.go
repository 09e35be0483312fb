// Package caller speaks HTTP to callers: chats in the shape that chat clients know, plain services, and tickets.
package caller
