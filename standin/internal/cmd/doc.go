// Package cmd holds the stand-ins' command line, a file for each command.
package cmd
