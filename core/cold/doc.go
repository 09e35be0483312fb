// Package cold keeps the requests of all routers to an upstream that has just started within the rate that it bears. It answers releases,
// restarts and data centres that come back: an upstream without load is the best choice of all routers at the same moment.
package cold
