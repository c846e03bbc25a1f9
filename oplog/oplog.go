// Package oplog writes the operators' log as JSON lines, without ever blocking the
// goroutine that logs.
//
// Lines pass through a bounded queue to a goroutine that writes them. When the queue is
// full because the reader is slow, lines are dropped. Lines with the same message are rate
// limited, so that the volume of the log remains bounded under load; warnings and errors
// have a separate limit. Dropped lines are counted. Their number is logged at most once a
// second, and [Log.Dropped] returns it for a metric.
package oplog

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// maxQueuedLines is the capacity of the queue, about 2 MB.
	maxQueuedLines = 8192
	// linesPerSecond and linesBurst limit the lines with the same message that are
	// less severe than warnings. A leader starts about 250 tasks a second at peak;
	// the limit admits three times that.
	linesPerSecond = 800
	linesBurst     = 1600
	// warningsPerSecond and warningsBurst limit warnings and errors with the same
	// message.
	warningsPerSecond = 200
	warningsBurst     = 400
	// writeInterval is how long lines are collected after a write. maxWriteBytes limits
	// a write to what a pipe accepts atomically (PIPE_BUF), so that a reader that reads
	// in chunks receives whole lines; a longer line is written by itself. A leader with
	// 1,600 starts a second writes 2,500 lines a second, about sixteen per write.
	writeInterval = 10 * time.Millisecond
	maxWriteBytes = 4 << 10
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// A Log is a logger that writes through a bounded queue. It is safe for concurrent use.
type Log struct {
	*logrus.Logger

	out      io.Writer
	queue    chan []byte
	dropped  atomic.Int64
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	done     chan struct{}
}

// New returns a log that writes to out. Nothing is written until [Log.Run] is called.
func New(out io.Writer) *Log {
	l := &Log{
		Logger:   logrus.New(),
		out:      out,
		queue:    make(chan []byte, maxQueuedLines),
		limiters: map[string]*rate.Limiter{},
		done:     make(chan struct{}),
	}
	l.SetOutput(writer{
		log: l,
	})
	l.SetFormatter(formatter{
		log: l,
		json: logrus.JSONFormatter{
			TimestampFormat: time.RFC3339Nano,
		},
	})
	return l
}

// Dropped returns the number of lines dropped so far.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Run writes lines until ctx is done, then writes those still queued and returns.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var reported int64
	for {
		select {
		case b := <-l.queue:
			l.writeAll(b)
			pause.For(ctx, writeInterval)
		case <-t.C:
			if n := l.Dropped(); n > reported {
				l.WithField("lines", n-reported).Warn("log lines left out")
				reported = n
			}
		case <-ctx.Done():
			l.writeAll(nil)
			return
		}
	}
}

// Wait blocks until Run has returned.
func (l *Log) Wait() {
	<-l.done
}

// writeAll writes b and all queued lines, combined into writes of at most maxWriteBytes.
func (l *Log) writeAll(b []byte) {
	for {
		select {
		case next := <-l.queue:
			if len(b) > 0 && len(b)+len(next) > maxWriteBytes {
				l.write(b)
				b = nil
			}
			b = append(b, next...)
		default:
			if len(b) > 0 {
				l.write(b)
			}
			return
		}
	}
}

// write writes b. If that fails, its lines are counted as dropped, since there is no other
// place to report the error.
func (l *Log) write(b []byte) {
	if _, err := l.out.Write(b); err != nil {
		l.dropped.Add(int64(bytes.Count(b, []byte("\n"))))
	}
}

// allow reports whether the rate limit admits one more line with the given message.
func (l *Log) allow(message string, level logrus.Level) bool {
	perSecond, burst := linesPerSecond, linesBurst
	if level <= logrus.WarnLevel {
		perSecond, burst = warningsPerSecond, warningsBurst
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limiters[message]
	if x == nil {
		x = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.limiters[message] = x
	}
	return x.Allow()
}

// A formatter formats lines as JSON. For a line that exceeds its rate limit it returns no
// bytes, which [writer] ignores.
type formatter struct {
	log  *Log
	json logrus.JSONFormatter
}

// Format implements [logrus.Formatter].
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.log.allow(e.Message, e.Level) {
		f.log.dropped.Add(1)
		return nil, nil
	}
	return f.json.Format(e)
}

// A writer queues lines without blocking. It drops them when the queue is full.
type writer struct {
	log *Log
}

// Write implements [io.Writer].
func (w writer) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	line := append([]byte(nil), b...)
	select {
	case w.log.queue <- line:
	default:
		w.log.dropped.Add(1)
	}
	return len(b), nil
}
