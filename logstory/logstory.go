// Package logstory tells the story of one request, job, task, worker or host from
// saved logs of many processes: every line that names it, in the order of time,
// with the changes of leader, store and configuration around it. The story of a
// request is that of its job.
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

// A Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Fields has the others, as they were written.
	Fields map[string]any
}

// longest is the longest line that is read, in bytes.
const longest = 1 << 20

// Read reads the lines of a log. What comes before the JSON of a line, as a
// collector's stamp, is skipped; lines that are no JSON are counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longest)
	for s.Scan() {
		l, ok := parse(s.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

func parse(s string) (Line, bool) {
	i := strings.IndexByte(s, '{')
	if i < 0 {
		return Line{}, false
	}
	var f map[string]any
	if err := json.Unmarshal([]byte(s[i:]), &f); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text(f, "time"))
	if err != nil {
		return Line{}, false
	}
	l := Line{
		Time:    at,
		Host:    text(f, "host"),
		Message: text(f, "msg"),
		Fields:  f,
	}
	for _, k := range []string{"time", "host", "msg"} {
		delete(f, k)
	}
	return l, true
}

func text(f map[string]any, key string) string {
	s, _ := f[key].(string)
	return s
}

// Text returns a field that is a text; empty when there is none.
func (l *Line) Text(key string) string {
	return text(l.Fields, key)
}

// Number returns a field that is a number; 0 when there is none.
func (l *Line) Number(key string) float64 {
	x, _ := l.Fields[key].(float64)
	return x
}

// Millis returns a field that counts milliseconds.
func (l *Line) Millis(key string) time.Duration {
	return time.Duration(l.Number(key) * float64(time.Millisecond))
}

// around are the messages that explain others: who led, and what could be
// reached.
var around = []string{
	"host started", "host stops as planned", "host stopped", "this host leads", "this host no longer leads",
	"jobs loaded", "leader changed", "leader's health changed", "store reachable", "store not reachable",
	"feed lost", "feed regained", "configuration feed lost", "configuration feed regained",
	"configuration in force", "log lines left out",
}

// margin is how long before the first and after the last line of a story the
// lines around it are told.
const margin = 2 * time.Second

// Story returns the lines that name id, or the job of the request that id is,
// and those that explain them, in the order of time. It is empty when no line
// names id.
func Story(lines []Line, id string) []Line {
	ids := append(jobsOf(lines, id), id)
	var own []Line
	for _, l := range lines {
		if l.namesAny(ids) {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from := own[0].Time.Add(-margin)
	to := own[len(own)-1].Time.Add(margin)
	for _, l := range lines {
		if !l.namesAny(ids) && slices.Contains(around, l.Message) && !l.Time.Before(from) && !l.Time.After(to) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// jobsOf returns the jobs that a request was about, if id is one's. A line that
// refuses it has the job at the end of its path.
func jobsOf(lines []Line, id string) []string {
	var jobs []string
	for _, l := range lines {
		if text(l.Fields, "request") != id {
			continue
		}
		path := text(l.Fields, "path")
		job := cmp.Or(text(l.Fields, "job"), path[strings.LastIndexByte(path, '/')+1:])
		if job != "" && !slices.Contains(jobs, job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (l *Line) namesAny(ids []string) bool {
	return slices.ContainsFunc(ids, l.names)
}

// names reports whether a line is about id: a field is it, or begins with it
// and a dot, as a task's does with its job's, or ends in it after a slash, as a
// path does.
func (l *Line) names(id string) bool {
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

// Write writes a story, a line for each of its lines, with times counted from
// the first.
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
