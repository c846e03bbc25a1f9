// Package wire serves the fake store, workers and advisor of package cellfake
// over the HTTP APIs of the platform, so that tests can run complete hosts
// against them.
package wire
