// Package logchart draws charts over time from the saved logs of many processes: jobs
// accepted and requests refused, tasks started and ended, waiting stages, cores in use,
// and hosts that cannot reach the store. Vertical lines mark changes of leader.
package logchart
