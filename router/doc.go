// Package router runs the routing of one service on one entry host. All decisions
// are made by a [route.State]: a [Router] passes it arriving requests, results and
// the time, and carries out the actions that it returns.
//
// Runners are the upstream processes of the service. A runner has a fixed number of
// slots, each for one request at a time. The slots are divided among the hosts of
// the hall; a host may send requests in its own slots and in slots that it has
// borrowed from another host for a short time.
package router
