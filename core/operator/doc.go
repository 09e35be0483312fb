// Package operator serves a process's health, metrics and state to operators, runs its main function and writes its log.
package operator
