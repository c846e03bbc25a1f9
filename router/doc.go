// Package router runs the routing of one service on one entry host. It passes
// arrivals, results and timers to a [route.State] and carries out its actions:
// it sends requests to runners, and borrows slots from the hall's other hosts
// and returns them.
package router
