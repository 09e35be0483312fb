// Package warmup decides which router asks an engine for the prompts that it caches after all routers have restarted.
package warmup
