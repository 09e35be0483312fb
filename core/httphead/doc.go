// Package httphead bounds the heads of HTTP messages by their header fields, each of which takes much more memory than its bytes, and the
// responses that an HTTP client reads.
package httphead
