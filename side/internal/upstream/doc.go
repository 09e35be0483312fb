// Package upstream is the HTTP client for the upstream beside the side process, a model engine or a plain service.
package upstream
