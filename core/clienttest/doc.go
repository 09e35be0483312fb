// Package clienttest provides clients that do not behave, for tests of servers, and measures the processes that serve them.
package clienttest
