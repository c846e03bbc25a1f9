package logstory_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/logstory"
)

const log = `
 2.5 h2 {"host":"h2","job":"a1","msg":"task started","reason":"taken","task":"a1.0.0.1","time":"2026-01-01T00:00:02.5Z"}
{"host":"h1","level":"info","msg":"job accepted","job":"a1","time":"2026-01-01T00:00:02Z"}
{"host":"h1","msg":"job accepted","job":"b2","time":"2026-01-01T00:00:02.1Z"}
{"host":"h2","msg":"this host leads","epoch":3,"time":"2026-01-01T00:00:01Z"}
{"host":"h2","msg":"this host leads","epoch":2,"time":"2025-12-31T23:59:00Z"}
{"host":"h1","msg":"request refused","path":"/q/a1","status":502,"time":"2026-01-01T00:00:01.9Z"}
not a log line
`

func TestStoryHasLinesOfJobAndContext(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := logstory.Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	var messages []string
	for _, l := range logstory.Story(lines, "a1") {
		messages = append(messages, l.Message)
	}
	c.Assert(messages, qt.DeepEquals, []string{"this host leads", "request refused", "job accepted", "task started"})
	c.Assert(logstory.Story(lines, "none"), qt.HasLen, 0)
}

// A client knows the id of its request but not that of the job. The story of a request
// includes all lines of its job, also those of other requests that submitted the job.
func TestStoryOfRequestCoversItsJob(t *testing.T) {
	c := qt.New(t)
	const log = `
{"host":"h1","msg":"request refused","path":"/q/a1","request":"r1","status":502,"time":"2026-01-01T00:00:01.9Z"}
{"host":"h2","msg":"job accepted","job":"a1","request":"r2","time":"2026-01-01T00:00:02Z"}
{"host":"h2","msg":"job accepted","job":"b2","request":"r3","time":"2026-01-01T00:00:02.1Z"}
{"host":"h2","msg":"job ended","job":"a1","reason":"failed","time":"2026-01-01T00:00:03Z"}
{"host":"h2","msg":"request refused","path":"/q/","request":"r4","status":404,"time":"2026-01-01T00:00:04Z"}
`
	lines, _, err := logstory.Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	for request, want := range map[string][]string{
		"r1": {"request refused", "job accepted", "job ended"},
		"r2": {"request refused", "job accepted", "job ended"},
		"r3": {"job accepted"},
		"r4": {"request refused"},
	} {
		var messages []string
		for _, l := range logstory.Story(lines, request) {
			messages = append(messages, l.Message)
		}
		c.Assert(messages, qt.DeepEquals, want, qt.Commentf("request %s", request))
	}
}

func ExampleWrite() {
	lines, _, err := logstory.Read(strings.NewReader(log))
	if err != nil {
		panic(err)
	}
	if err := logstory.Write(os.Stdout, logstory.Story(lines, "b2")); err != nil {
		panic(err)
	}
	// Output:
	//    +0.000s h2                 this host leads: epoch=3
	//    +1.100s h1                 job accepted: job=b2
}
