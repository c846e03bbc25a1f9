package oplog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/oplog"
)

func TestLinesAreJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		l := oplog.New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		l.WithField("job", "a1").Info("job accepted")
		synctest.Wait()
		cancel()
		l.Wait()
		var line map[string]any
		c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
		c.Assert(line["job"], qt.Equals, "a1")
		c.Assert(line["msg"], qt.Equals, "job accepted")
	})
}

// A stalled reader must not block the logging program.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &stalled{
			release: make(chan struct{}),
		}
		l := oplog.New(w)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		begun := time.Now()
		for i := range 40_000 {
			l.WithField("i", i).Info(strings.Repeat("x", i%40))
		}
		c.Assert(time.Since(begun), qt.Equals, time.Duration(0))
		c.Assert(l.Dropped() > 0, qt.IsTrue)
		close(w.release)
		cancel()
		l.Wait()
	})
}

// A stalled writer blocks until release is closed.
type stalled struct {
	release chan struct{}
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A message that floods the log must be rate limited and the dropped lines counted, while
// an error with another message is still written.
func TestFloodOfOneMessageIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		l := oplog.New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		for range 5000 {
			l.Info("flood")
		}
		l.Error("lease lost")
		pause.For(t.Context(), 1500*time.Millisecond)
		cancel()
		l.Wait()
		s := out.String()
		c.Assert(strings.Count(s, "flood") <= 1600, qt.IsTrue)
		c.Assert(strings.Count(s, "lease lost"), qt.Equals, 1)
		c.Assert(strings.Contains(s, `"lines":3400,"msg":"log lines left out"`), qt.IsTrue, qt.Commentf("%d left out", l.Dropped()))
	})
}

// A countingWriter counts writes and lines, and records the length of the longest write.
type countingWriter struct {
	writes, lines, maxBytes int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.writes++
	w.maxBytes = max(w.maxBytes, len(b))
	w.lines += bytes.Count(b, []byte("\n"))
	return len(b), nil
}

// Lines in quick succession must share writes, while the first line is written without
// delay.
func TestLinesShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out countingWriter
		l := oplog.New(&out)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		l.Info("first")
		synctest.Wait()
		c.Check(out.lines, qt.Equals, 1)
		for range 700 {
			l.WithField("i", strings.Repeat("1", 200)).Info("started")
			pause.For(t.Context(), time.Millisecond)
		}
		for range 100 {
			l.WithField("i", strings.Repeat("1", 200)).Info("started at once")
		}
		cancel()
		l.Wait()
		c.Check(out.lines, qt.Equals, 801)
		c.Check(out.writes <= 85, qt.IsTrue, qt.Commentf("%d writes", out.writes))
		c.Check(out.maxBytes <= 4096, qt.IsTrue, qt.Commentf("%d bytes", out.maxBytes))
	})
}
