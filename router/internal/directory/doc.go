// Package directory follows the declarations and the instances in the platform's directory.
package directory
