package oplog_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/oplog"
)

// BenchmarkLine logs lines like those about the run of a task, of which a leader writes
// about four per task.
func BenchmarkLine(b *testing.B) {
	l := oplog.New(io.Discard)
	ctx, cancel := context.WithCancel(b.Context())
	go l.Run(ctx)
	defer l.Wait()
	defer cancel()
	e := l.WithField("host", "front-1")
	// The rate limit applies per message, so with many messages it drops no line.
	var messages [2000]string
	for i := range messages {
		messages[i] = fmt.Sprintf("task placed %d", i)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		e.WithFields(logrus.Fields{
			"epoch":  uint64(7),
			"reason": "has room",
			"age_ms": int64(38),
			"job":    "a7897bb9cc451f01",
			"task":   "a7897bb9cc451f01.0.0.0",
			"run":    uint32(1),
			"worker": "i-a807225722",
		}).Info(messages[n%len(messages)])
	}
}
