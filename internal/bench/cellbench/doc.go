// Package cellbench measures the decisions of package sched on a whole cell in a
// discrete-event simulation: jobs with steps, gangs, accelerators, checkpoints and an
// advisor, on simulated workers. It models no network, store or host faults, so that it
// simulates many thousand jobs per second and shows differences between placement
// policies only.
package cellbench
