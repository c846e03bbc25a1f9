// Package cellbench measures the decisions of package sched on a whole cell:
// jobs with steps, gangs, accelerators, saved progress and an advisor, on fake
// workers and on virtual time. It has no network, no store and no faults; what
// it tells apart is policies of placement, many thousand jobs a second.
package cellbench
