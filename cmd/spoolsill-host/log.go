package main

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// newLog returns a log of JSON lines on standard output.
func newLog() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
	})
	log.SetOutput(os.Stdout)
	return log
}
