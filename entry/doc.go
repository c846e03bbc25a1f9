// Package entry is an entry host: it wires the decisions and what is kept to
// the network.
//
// A [Host] serves callers and operators over HTTP and the other entry hosts
// over package peer. It routes requests (package router), tries for the lease
// of its hall and places tasks while it has it (package holder), joins the
// platform's list with what the hall sees (package member), keeps the
// configuration in force (package config) and remembers claims of request
// keys (package claim).
//
// [Host.Stop] is a planned stop: it cuts off nothing. Ending the context of
// [Host.Run] is the same as the death of the process.
package entry
