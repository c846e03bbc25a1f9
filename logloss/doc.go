// Package logloss tells from saved logs what became of the jobs of each queue:
// how many were in time, late or not served at all, and why the others were not.
// It is for finding what binds, where package logstory is for one job.
package logloss
