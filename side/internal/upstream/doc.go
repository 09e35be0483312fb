// Package upstream speaks HTTP to the model engine or plain service beside the side process.
package upstream
