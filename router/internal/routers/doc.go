// Package routers keeps a router in step with the other routers: open requests, cached prompts, instances and routers.
package routers
