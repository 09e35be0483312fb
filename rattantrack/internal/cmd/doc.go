// Package cmd holds the operators' command line, a file for each command.
package cmd
