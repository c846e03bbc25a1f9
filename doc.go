// Package spoolsill defines the types shared by all packages of the Spoolsill
// cluster scheduler: ids, units, jobs, tasks, workers, requests and their outcomes.
//
// The package performs no I/O, reads no clock, starts no goroutine and imports no
// other package of the module.
//
// The terms for machines, zones, customers and back ends (worker, runner, host,
// hall, caller, team, upstream) are defined by the product; docs/GLOSSARY.md maps
// them to the standard terms of the field.
package spoolsill
