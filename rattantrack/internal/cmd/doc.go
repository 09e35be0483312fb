// Package cmd implements the command line for operators, with one file for each command.
package cmd
