package jobfile_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobfile"
)

const validFile = `
id = "a"
team = "t"
kind = "batch"
class = "patient"
tasks = 3
processors = "0.5"
memory = "512MiB"
runtime = "90s"
`

func TestParseTOMLAndJSONAgree(t *testing.T) {
	c := qt.New(t)
	want := spoolsill.Job{
		ID:    "a",
		Team:  "t",
		Kind:  spoolsill.KindBatch,
		Class: spoolsill.ClassPatient,
		Tasks: 3,
		Shape: spoolsill.Resources{
			Processors: 500,
			Memory:     512 * spoolsill.MiB,
		},
		Runtime: 90 * time.Second,
	}
	f, err := jobfile.Parse("f", []byte(validFile))
	c.Assert(err, qt.IsNil)
	c.Assert(f.Job, qt.DeepEquals, want)
	f, err = jobfile.Parse("f", []byte(`{"id":"a","team":"t","kind":"batch","class":"patient","tasks":3,"processors":"500m","memory":"512MiB","runtime":"1m30s"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(f.Job, qt.DeepEquals, want)
}

func TestParseExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/jobs/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 3, qt.IsTrue)
	for _, f := range files {
		b, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		_, err = jobfile.Parse(f, b)
		qt.Assert(t, err, qt.IsNil)
	}
}

func TestParseErrorNamesFieldValueAndAllowed(t *testing.T) {
	tests := []struct {
		text string
		want string
	}{
		{
			text: validFile + "speed = 3",
			want: "f: line 10: unknown key speed",
		},
		{
			text: "id = \"A B\"\nteam = \"t\"\nkind = \"batch\"\ntasks = 0\nprocessors = \"1\"\nmemory = \"1GiB\"",
			want: `f: id: "A B" is not allowed: want 1 to 63 of a-z, 0-9 and -; tasks: "0" is not allowed: want 1 to 10000`,
		},
		{
			text: "processors = \"lots\"\nmemory = \"4\"",
			want: `f: processors: "lots" is not allowed.*; memory: "4" is not allowed.*`,
		},
		{
			text: validFile + "unrepeatable = 1",
			want: "f: line 10.*unrepeatable.*",
		},
		{
			text: `{"id": 3}`,
			want: "f: .*id.*",
		},
	}
	for _, x := range tests {
		_, err := jobfile.Parse("f", []byte(x.text))
		qt.Check(t, err, qt.ErrorMatches, x.want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add(`{"id":"a"}`)
	f.Add("processors = \"1e300\"")
	f.Fuzz(func(t *testing.T, text string) {
		x, err := jobfile.Parse("f", []byte(text))
		var e *jobfile.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
		if err == nil && len(x.Job.Validate()) > 0 {
			t.Fatalf("accepted %+v", x.Job)
		}
	})
}
