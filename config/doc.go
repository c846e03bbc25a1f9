// Package config holds the configuration of the cell, which operators change
// while it runs. Package settings holds the settings of one process.
//
// A [Document] is TOML and is validated as a whole before it is accepted.
// Accepted documents are numbered by [spoolsill.Version]. The [Store] of each
// process applies only higher versions and keeps the last valid one. A version
// is accepted by one conditional transaction on the platform's table; hosts
// read it from the table and from other hosts of their hall.
//
// Invariants: within a process, the version in force never decreases, and a
// document that fails validation is never in force.
package config
