package logchart_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/logchart"
	"github.com/spoolsill/spoolsill/logstory"
)

const log = `
{"host":"h1","msg":"host started","time":"2026-01-01T00:00:00Z"}
{"host":"h2","msg":"this host leads","epoch":3,"time":"2026-01-01T00:00:01.5Z"}
{"host":"h1","msg":"job accepted","job":"a1","time":"2026-01-01T00:00:02Z"}
{"host":"h2","msg":"job accepted","job":"b2","time":"2026-01-01T00:00:02.1Z"}
{"host":"h1","msg":"store not reachable","time":"2026-01-01T00:00:02.5Z"}
{"host":"h2","msg":"load of the cell","stages_wait":7,"stages_late":2,"cores_used":40,"time":"2026-01-01T00:00:03Z"}
{"host":"h1","msg":"request refused","status":502,"time":"2026-01-01T00:00:03.2Z"}
{"host":"h1","msg":"store reachable","time":"2026-01-01T00:00:04Z"}
`

func series(c *qt.C) logchart.Series {
	lines, _, err := logstory.Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	return logchart.NewSeries(lines)
}

func TestSeriesCountsLines(t *testing.T) {
	c := qt.New(t)
	s := series(c)
	c.Assert(s.JobsAccepted, qt.DeepEquals, []logchart.Point{{0, 0}, {1, 0}, {2, 2}, {3, 0}, {4, 0}})
	c.Assert(s.RequestsRefused[3], qt.Equals, logchart.Point{Second: 3, Value: 1})
	c.Assert(s.StagesWaiting, qt.DeepEquals, []logchart.Point{{3, 7}})
	c.Assert(s.StagesLate, qt.DeepEquals, []logchart.Point{{3, 2}})
	c.Assert(s.CoresUsed, qt.DeepEquals, []logchart.Point{{3, 40}})
	c.Assert(s.Away, qt.DeepEquals, []logchart.Point{{0, 0}, {2.5, 1}, {4, 0}})
	c.Assert(s.LeaderChanges, qt.DeepEquals, []float64{1.5})
}

func TestWriteSVGDrawsAllPanels(t *testing.T) {
	c := qt.New(t)
	s := series(c)
	var b bytes.Buffer
	c.Assert(s.WriteSVG(&b), qt.IsNil)
	for _, label := range []string{"calls a second", "tasks a second", "stages that wait", "cores in use", "hosts without the store"} {
		c.Assert(strings.Contains(b.String(), label), qt.IsTrue, qt.Commentf("%s", label))
	}
}

func TestWriteSVGWithoutLines(t *testing.T) {
	c := qt.New(t)
	s := logchart.NewSeries(nil)
	var b bytes.Buffer
	c.Assert(s.WriteSVG(&b), qt.IsNil)
}
