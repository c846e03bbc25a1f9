// Package logloss counts from saved logs how the jobs of each queue ended: how many
// met their objective, how many were late or did not complete, and for what reason.
// The counts show the bottleneck of a cell; package logstory covers single jobs.
package logloss
