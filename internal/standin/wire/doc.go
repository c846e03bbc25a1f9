// Package wire serves the fake store, workers and advisor of package cellfake
// over the platform's HTTP interfaces, so that tests run complete hosts against
// them.
package wire
