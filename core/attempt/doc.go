// Package attempt decides what follows the end of an attempt: another attempt, the rest of a stream, or a final answer.
package attempt
