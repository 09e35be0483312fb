// Package caller is the HTTP API for callers: chats in the chat completions format, plain services, and tickets.
package caller
