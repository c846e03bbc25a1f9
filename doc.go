// Package spoolsill is the shared vocabulary of the Spoolsill cluster
// scheduler: ids, units, jobs, tasks, workers, requests and their outcomes.
//
// Every other package of the module speaks in these types. The package holds
// no I/O, no clock and no goroutine, and it imports nothing of the module.
//
// The words for machines, zones, customers and back ends (worker, runner,
// host, hall, caller, team, upstream) are those of the users' brief;
// docs/GLOSSARY.md maps them to the standard terms of the field.
package spoolsill
