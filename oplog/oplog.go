// Package oplog makes the operators' log: JSON lines that never hold up the
// program that writes them.
//
// Lines go through a bounded queue to a goroutine that writes them; when a slow
// reader has filled the queue, lines are left out. Each kind of line (its
// message) may come only so often, so that the volume stays bounded under load;
// warnings and errors have a limit of their own and are left out last. What was
// left out is counted, told in the log once a second, and served as a metric.
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
	// queueLines is how many lines wait for a slow reader: some 2 MB.
	queueLines = 8192
	// linesPerSecond and linesBurst bound the lines of one kind below
	// warnings. A leader of today starts some 250 tasks a second at the
	// peak; three times that is let through.
	linesPerSecond = 800
	linesBurst     = 1600
	// warningsPerSecond and warningsBurst bound the others of one kind.
	warningsPerSecond = 200
	warningsBurst     = 400
	// writeEvery is how long lines gather for one write, writeMost how many bytes it
	// has at most: what a pipe takes whole, so that readers of pieces see whole lines.
	// A leader of 1,600 starts a second writes 2,500 lines, some sixteen at once.
	writeEvery = 10 * time.Millisecond
	writeMost  = 4 << 10
	// reportEvery is how often lines that were left out are told of.
	reportEvery = time.Second
)

// A Log is a logger with a bounded queue.
type Log struct {
	*logrus.Logger

	out     io.Writer
	queue   chan []byte
	left    atomic.Int64
	mu      sync.Mutex
	limits  map[string]*rate.Limiter
	written chan struct{}
}

// New returns a log that writes to out. Run must be called.
func New(out io.Writer) *Log {
	l := &Log{
		Logger:  logrus.New(),
		out:     out,
		queue:   make(chan []byte, queueLines),
		limits:  map[string]*rate.Limiter{},
		written: make(chan struct{}),
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

// LeftOut returns how many lines were left out so far.
func (l *Log) LeftOut() int64 {
	return l.left.Load()
}

// Run writes the lines until ctx ends, and then those that wait.
func (l *Log) Run(ctx context.Context) {
	defer close(l.written)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	var told int64
	for {
		select {
		case b := <-l.queue:
			l.writeAll(b)
			pause.For(ctx, writeEvery)
		case <-t.C:
			if n := l.LeftOut(); n > told {
				l.WithField("lines", n-told).Warn("log lines left out")
				told = n
			}
		case <-ctx.Done():
			l.writeAll(nil)
			return
		}
	}
}

// Wait returns when Run has written the last line.
func (l *Log) Wait() {
	<-l.written
}

// writeAll writes a line and those that wait behind it, as many at once as a write
// may have.
func (l *Log) writeAll(b []byte) {
	for {
		select {
		case next := <-l.queue:
			if len(b) > 0 && len(b)+len(next) > writeMost {
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

// write drops lines that can't be written: there is nowhere to say so.
func (l *Log) write(b []byte) {
	if _, err := l.out.Write(b); err != nil {
		l.left.Add(int64(bytes.Count(b, []byte("\n"))))
	}
}

// allows reports whether one more line of a kind may be written.
func (l *Log) allows(kind string, level logrus.Level) bool {
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

// A formatter leaves out what is over its limit: logrus writes nothing then.
type formatter struct {
	log  *Log
	json logrus.JSONFormatter
}

// Format implements [logrus.Formatter].
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	if !f.log.allows(e.Message, e.Level) {
		f.log.left.Add(1)
		return nil, nil
	}
	return f.json.Format(e)
}

// A writer puts lines into the queue and never waits.
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
		w.log.left.Add(1)
	}
	return len(b), nil
}
