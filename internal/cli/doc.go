// Package cli implements the spoolsill command line for callers and operators.
//
// Commands that print structured results support --json. The exit codes are the
// Exit constants of this package; docs/OPERATIONS.md lists them.
package cli
