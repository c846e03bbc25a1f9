// Package cli implements the spoolsill command for callers and operators.
//
// Commands that print structured results support --json. The exit codes are the
// Exit constants of this package, which docs/OPERATIONS.md lists.
package cli
