// Package soak runs hosts as separate processes, injects faults into them and their
// network, and checks meanwhile that clients and workers see no violation of the cell's
// invariants.
//
// Each host reaches the store and the advisor through proxies of its own, and each worker
// is reached through a proxy. A [Proxy] delays data, resets connections, or holds data back
// in one or both directions. Processes are stopped, killed, paused and told to reload their
// settings by signals. Faults overlap. The fakes of package cellfake lose answers and
// history.
//
// With some seeds, each host has a [Link], and an operator repeatedly adds many routes to
// the configuration. Calls to the store then use the link of the host, and calls to the
// leader the links of both hosts. Calls from the leader to other hosts use no link, since
// hosts tell the leader the addresses that they listen on, nor do calls from clients and to
// workers.
//
// A [Checker] records what clients were told and which runs workers started, and reports
// violations. It does not check how fast work is done. It checks that all work ends after
// the last fault, and that a configuration is in force within configTime at each host that
// no fault affects.
//
// The plan of a run is derived from its seed. Processes and the network are real, so two
// runs of a seed are similar but not identical.
package soak
