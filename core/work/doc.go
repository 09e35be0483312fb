// Package work keeps what each upstream still has to do for the requests of all routers, and how fast it works at the moment. It answers
// loads in which a count of open requests says little: some requests have long prompts to prefill, and upstreams slow down for
// fractions of a second.
package work
