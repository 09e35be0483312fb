// Package engines asks the engines which prompts they cache, after the routers have lost what they knew.
package engines
