// Package routebench compares routing policies in a discrete-event simulation. Package
// route on several hosts, two baseline routers and one shared queue, which is the upper
// bound, serve the same requests on the same simulated runners.
package routebench
