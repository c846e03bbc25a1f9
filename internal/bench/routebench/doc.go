// Package routebench compares routing policies in a discrete-event simulation. Package
// route on several hosts, two baseline routers, and a single shared queue as the upper
// bound serve the same requests on the same simulated runners.
package routebench
