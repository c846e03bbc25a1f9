// Package demo runs the whole path in one process over loopback sockets:
// stand-ins for a deployment's platform, workers and runners, its entry hosts,
// operators and callers, and the failures that the users name. At the end the
// stand-ins' own records tell whether a promise was broken.
package demo
