// Package logloss counts from saved logs how the jobs of each queue ended: how many
// met their objective, how many were late or not served at all, and for what reason.
// It serves to find the bottleneck of a cell; package logstory is for a single job.
package logloss
