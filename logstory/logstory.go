// Package logstory extracts the history of one request, job, task, worker or host
// from the saved logs of many processes. The history consists of the lines that mention
// the id, sorted by time, and of the context lines around them, which report changes of
// the leader, of connectivity and of the configuration. The history of a request is
// that of its job.
package logstory

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// A Line is a parsed log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Fields holds the remaining fields, as decoded from JSON.
	Fields map[string]any
}

// maxLineBytes is the maximum length of a line. [Read] fails on a longer one.
const maxLineBytes = 1 << 20

// Read parses the lines of a log. It ignores text before the JSON object of a line,
// such as a log collector's timestamp. It skips lines that it cannot parse and returns
// their number.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parseLine(s.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

func parseLine(s string) (Line, bool) {
	i := strings.IndexByte(s, '{')
	if i < 0 {
		return Line{}, false
	}
	var f map[string]any
	if err := json.Unmarshal([]byte(s[i:]), &f); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(f, "time"))
	if err != nil {
		return Line{}, false
	}
	l := Line{
		Time:    at,
		Host:    stringField(f, "host"),
		Message: stringField(f, "msg"),
		Fields:  f,
	}
	for _, k := range []string{"time", "host", "msg"} {
		delete(f, k)
	}
	return l, true
}

func stringField(f map[string]any, key string) string {
	s, _ := f[key].(string)
	return s
}

// Text returns the value of a string field, or "" if there is no such field.
func (l *Line) Text(key string) string {
	return stringField(l.Fields, key)
}

// Number returns the value of a numeric field, or 0 if there is no such field.
func (l *Line) Number(key string) float64 {
	x, _ := l.Fields[key].(float64)
	return x
}

// Millis returns the value of a field in milliseconds as a duration.
func (l *Line) Millis(key string) time.Duration {
	return time.Duration(l.Number(key) * float64(time.Millisecond))
}

// contextMessages are the messages of the context lines that [Story] adds: starts and
// stops of hosts, changes of the leader, of connectivity and of the configuration, and
// gaps in the log.
var contextMessages = []string{
	"host started", "host stops as planned", "host stopped", "this host leads", "this host no longer leads",
	"jobs loaded", "leader changed", "leader's health changed", "store reachable", "store not reachable",
	"feed lost", "feed regained", "configuration feed lost", "configuration feed regained",
	"configuration in force", "log lines left out",
}

// contextMargin extends the time span of a story, in both directions, within which
// context lines are included.
const contextMargin = 2 * time.Second

// Story returns the lines that mention id and the context lines around them, sorted by
// time. If id is a request, lines that mention its job are included. Story returns nil
// if no line mentions id.
func Story(lines []Line, id string) []Line {
	ids := append(jobsOfRequest(lines, id), id)
	var selected []Line
	for _, l := range lines {
		if l.mentionsAny(ids) {
			selected = append(selected, l)
		}
	}
	if len(selected) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(selected, byTime)
	from := selected[0].Time.Add(-contextMargin)
	to := selected[len(selected)-1].Time.Add(contextMargin)
	for _, l := range lines {
		if !l.mentionsAny(ids) && slices.Contains(contextMessages, l.Message) && !l.Time.Before(from) && !l.Time.After(to) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// jobsOfRequest returns the ids of the jobs that the lines of request id refer to. The
// line of a refused request has no job field, but its path ends with the job's id.
func jobsOfRequest(lines []Line, id string) []string {
	var jobs []string
	for _, l := range lines {
		if stringField(l.Fields, "request") != id {
			continue
		}
		path := stringField(l.Fields, "path")
		job := cmp.Or(stringField(l.Fields, "job"), path[strings.LastIndexByte(path, '/')+1:])
		if job != "" && !slices.Contains(jobs, job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (l *Line) mentionsAny(ids []string) bool {
	return slices.ContainsFunc(ids, l.mentions)
}

// mentions reports whether l was logged by host id or has a field that equals id, starts
// with id and a dot (a task of job id), or ends with a slash and id (a path).
func (l *Line) mentions(id string) bool {
	if l.Host == id {
		return true
	}
	for _, v := range l.Fields {
		s, ok := v.(string)
		if ok && (s == id || strings.HasPrefix(s, id+".") || strings.HasSuffix(s, "/"+id)) {
			return true
		}
	}
	return false
}

// Write formats a story as text, one row per log line, with times relative to the first
// line.
func Write(w io.Writer, story []Line) error {
	for _, l := range story {
		keys := make([]string, 0, len(l.Fields))
		for k := range l.Fields {
			if k != "level" {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		var b strings.Builder
		for _, k := range keys {
			fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
		}
		_, err := fmt.Fprintf(w, "%+9.3fs %-18s %s:%s\n", l.Time.Sub(story[0].Time).Seconds(), l.Host, l.Message, b.String())
		if err != nil {
			return err
		}
	}
	return nil
}
