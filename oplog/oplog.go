// Package oplog writes the operators' log: JSON lines that never block the program that
// logs them.
//
// Lines pass through a bounded queue to a goroutine that writes them. When a slow reader
// has let the queue fill up, lines are dropped. Each message has a rate limit, so that
// the volume stays bounded under load; warnings and errors have a limit of their own.
// Dropped lines are counted; their number is logged at most once a second and served as
// a metric.
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
	// maxQueuedLines is the capacity of the queue for a slow reader, about 2 MB.
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
	// writeInterval is how long lines are collected for one write. maxWriteBytes limits
	// a write to what a pipe takes atomically (PIPE_BUF), so that a reader that reads
	// in chunks sees whole lines; a longer line is written by itself. A leader with
	// 1,600 starts a second writes 2,500 lines a second, about sixteen per write.
	writeInterval = 10 * time.Millisecond
	maxWriteBytes = 4 << 10
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// A Log is a logger that writes through a bounded queue.
type Log struct {
	*logrus.Logger

	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	limits  map[string]*rate.Limiter
	done    chan struct{}
}

// New returns a log that writes to out. Nothing is written until [Log.Run] is called.
func New(out io.Writer) *Log {
	l := &Log{
		Logger: logrus.New(),
		out:    out,
		queue:  make(chan []byte, maxQueuedLines),
		limits: map[string]*rate.Limiter{},
		done:   make(chan struct{}),
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

// Run writes lines until ctx ends, then writes those still queued and returns.
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

// writeAll writes b and all queued lines, joined into writes of at most maxWriteBytes.
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

// write writes b. Lines that cannot be written are counted as dropped, since there is
// no other place to report the error.
func (l *Log) write(b []byte) {
	if _, err := l.out.Write(b); err != nil {
		l.dropped.Add(int64(bytes.Count(b, []byte("\n"))))
	}
}

// allow reports whether the rate limit admits one more line with message kind.
func (l *Log) allow(kind string, level logrus.Level) bool {
	perSecond, burst := linesPerSecond, linesBurst
	if level <= logrus.WarnLevel {
		perSecond, burst = warningsPerSecond, warningsBurst
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.limits[kind]
	if m == nil {
		m = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.limits[kind] = m
	}
	return m.Allow()
}

// A formatter drops lines over their rate limit by returning no bytes, for which [writer]
// queues nothing.
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
