// Package settings defines all settings of the system as plain structs: the declarations that operators publish for all
// processes, and the settings file of each process.
package settings
