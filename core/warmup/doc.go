// Package warmup decides which router queries an engine for its cached prompts after all routers have restarted.
package warmup
