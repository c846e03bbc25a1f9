// Package cli is the command line of callers and operators.
//
// Every command that prints takes --json. The exit codes are constants here
// and listed in docs/OPERATIONS.md.
package cli
