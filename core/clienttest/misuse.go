package clienttest

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Misuse writes what one client sends. It returns when the client sends nothing more; the connection stays open.
type Misuse func(w io.Writer) error

// Head returns the request line and the header fields of a request up to those that frame its body.
func Head(method, path, host string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(append(fields, ""), "\r\n")
}

// Nothing sends no byte.
func Nothing(io.Writer) error { return nil }

// StopShort announces the length of the body and sends all but its last byte.
func StopShort(head string, body []byte) Misuse {
	return func(w io.Writer) error { return sendAnnounced(w, head, int64(len(body)), body[:len(body)-1]) }
}

// Whole sends a complete request.
func Whole(head string, body []byte) Misuse {
	return func(w io.Writer) error { return sendAnnounced(w, head, int64(len(body)), body) }
}

// Announced announces a length and sends only the given bytes.
func Announced(head string, length int64, body []byte) Misuse {
	return func(w io.Writer) error { return sendAnnounced(w, head, length, body) }
}

// InPieces announces the length of the body and sends all but its last byte, in pieces with a pause between them.
func InPieces(head string, body []byte, piece int, pause time.Duration) Misuse {
	return func(w io.Writer) error {
		if err := sendAnnounced(w, head, int64(len(body)), nil); err != nil {
			return err
		}
		for rest := body[:len(body)-1]; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := w.Write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(pause)
		}
		return nil
	}
}

// LargeChunk sends the body as one chunk, without its last byte.
func LargeChunk(head string, body []byte) Misuse {
	return func(w io.Writer) error {
		if err := beginChunked(w, head); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%x\r\n", len(body)); err != nil {
			return err
		}
		_, err := w.Write(body[:len(body)-1])
		return err
	}
}

// smallChunksBatch is the number of chunks of one byte that are written at once.
const smallChunksBatch = 4096

// SmallChunks sends a body of n bytes in chunks of one byte, and no last chunk.
func SmallChunks(head string, n int) Misuse {
	return func(w io.Writer) error {
		if err := beginChunked(w, head); err != nil {
			return err
		}
		batch := strings.Repeat("1\r\nx\r\n", smallChunksBatch)
		for sent := 0; sent < n; sent += smallChunksBatch {
			if _, err := io.WriteString(w, batch); err != nil {
				return err
			}
		}
		return nil
	}
}

// EndlessChunks sends the body as a chunk the given number of times, and no last chunk.
func EndlessChunks(head string, body []byte, times int) Misuse {
	return func(w io.Writer) error {
		if err := beginChunked(w, head); err != nil {
			return err
		}
		for range times {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(body), body); err != nil {
				return err
			}
		}
		return nil
	}
}

// UnfinishedHead sends a head with one long field that does not end.
func UnfinishedHead(head string, length int) Misuse {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, head+"Padding: "+strings.Repeat("x", length))
		return err
	}
}

// ShortFields sends a head of n fields with short names that differ, and does not end it.
func ShortFields(head string, n int) Misuse {
	return func(w io.Writer) error {
		var text strings.Builder
		text.WriteString(head)
		for i := range n {
			fmt.Fprintf(&text, "%x:\r\n", i)
		}
		_, err := io.WriteString(w, text.String())
		return err
	}
}

// Bytes sends bytes as they are.
func Bytes(parts ...[]byte) Misuse {
	return func(w io.Writer) error {
		for _, b := range parts {
			if _, err := w.Write(b); err != nil {
				return err
			}
		}
		return nil
	}
}

func sendAnnounced(w io.Writer, head string, length int64, body []byte) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, length); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

func beginChunked(w io.Writer, head string) error {
	_, err := io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n")
	return err
}
