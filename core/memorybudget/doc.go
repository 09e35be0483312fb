// Package memorybudget decides how much memory the requests of clients may hold in a process, and which unfinished request makes room for
// another one.
package memorybudget
