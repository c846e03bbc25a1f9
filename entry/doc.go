// Package entry implements an entry host. It connects the packages that make
// decisions and keep state to the network.
//
// A [Host] serves callers and operators over HTTP, and the other entry hosts
// over package peer. It routes requests (package router), tries to acquire the
// lease of its hall and places tasks while it holds it (package holder),
// combines the platform's list of workers and runners with the hall's own
// observations (package member), applies the newest configuration (package
// config) and records claims of request keys (package claim).
//
// [Host.Stop] shuts the host down gracefully: work in flight is completed.
// Cancelling the context of [Host.Run] has the same effect as a crash of the
// process.
package entry
