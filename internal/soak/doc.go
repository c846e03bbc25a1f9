// Package soak runs hosts as processes of their own, does harm to them from
// outside, and checks meanwhile what clients and workers see of the promises.
//
// Each host reaches the store and the advisor through proxies of its own, and
// workers are reached through one proxy each; a [Proxy] delays, resets,
// silences or cuts one way. Processes get signals: they are stopped, killed,
// paused and told to read their settings again, in series that overlap. The
// stand-ins of package cellfake lose answers and history.
//
// With some seeds, hosts have a [Link] each, and an operator adds many routes to the
// configuration again and again. Calls to the store and to the leader then take the
// links of both ends; calls of the leader to other hosts, whose addresses it learns
// from themselves, and those of clients and workers take none.
//
// A [Judge] knows what clients were told and what workers started. What it finds
// is a broken promise. How fast work is done is not judged, only that all of it is
// done once the harm has ended, and that each host that nothing harms has a
// configuration in force within configTime.
//
// The plan of a run follows from its seed. Processes and the network are real,
// so that two runs of a seed are alike but not the same.
package soak
