// Package cmd implements the commands of standin.
package cmd
