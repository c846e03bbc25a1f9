// Package router runs the routing of one service on one entry host: it feeds
// package route with what arrives, ends and falls due, and does what it says:
// sends requests to runners, borrows slots from the hall's other hosts and
// gives them back.
package router
