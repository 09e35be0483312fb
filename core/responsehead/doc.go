// Package responsehead checks the heads of responses, of which net/http accepts more than HTTP allows.
package responsehead
