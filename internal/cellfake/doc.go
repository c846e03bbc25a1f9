// Package cellfake has stand-ins for what a host of the cell meets: the
// platform's store, workers and the advisor. They keep what the platform's pages
// promise (versions, conditions, leases, fences, ends that are listed until they
// are acknowledged), fail as the pages warn, and record every promise that the
// cell breaks.
package cellfake
