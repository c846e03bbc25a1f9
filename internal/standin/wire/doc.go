// Package wire serves the stand-ins of package cellfake over HTTP as the users'
// platform does, so that whole hosts run against them: the store, workers and
// the advisor, on loopback or in memory.
package wire
