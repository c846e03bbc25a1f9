// Package cellbench measures the decisions of package sched for a complete cell in a
// discrete-event simulation: jobs with steps, gangs, accelerators, checkpoints and an
// advisor, on simulated workers. It models no faults of the network, the store or the
// hosts, so that it simulates many thousand jobs per second and only shows differences
// between placement policies.
package cellbench
