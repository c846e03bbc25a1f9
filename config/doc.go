// Package config holds the configuration of the cell: what operators change
// while it runs, as against the settings of one process.
//
// A [Document] is TOML, checked as a whole before it is accepted. Accepted
// documents are numbered by [spoolsill.Version]; a [Store] on each process
// applies only higher versions and keeps the last good one. A version is
// accepted by one conditional write of the platform's table, and spreads from
// there and from host to host within a hall.
//
// What can never happen: a process in which a lower version follows a higher
// one, or a document that does not pass the checks is in force.
package config
