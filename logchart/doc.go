// Package logchart draws a span of time from saved logs of many processes: what
// came and what was refused, what was started, how full the cell was, and how many
// hosts reached the store, with a line where the leadership changed.
package logchart
