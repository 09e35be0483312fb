// Package wire encodes structs as arrays whose last fields older programs do not know, and decodes those that older programs encode.
package wire
