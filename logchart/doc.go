// Package logchart draws charts over time from the saved logs of many processes: jobs
// accepted and requests refused, tasks started and ended, the load of the cell, and the
// number of hosts that could not reach the store. Vertical lines mark changes of leader.
package logchart
