// Package operator serves a process's health, metrics and state to operators, and writes its log.
package operator
