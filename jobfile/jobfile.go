// Package jobfile parses job files, in which operators describe jobs in TOML or
// JSON.
//
// An [*Error] names the file and lists every rejected field with its value and
// the allowed values. The limits of a job are checked only when each field has
// a valid format.
package jobfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
)

// MaxFileBytes is the maximum size of a job file.
const MaxFileBytes = 64 << 10

// A File is the content of a job file.
type File struct {
	Job spoolsill.Job
	// Hall is the hall in which the job is to run. It is empty if the file does
	// not specify one.
	Hall spoolsill.HallID
}

// An Error lists the problems of a job file.
type Error struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *Error) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "; ")
}

// A jobDocument is the encoding of a job file, in TOML and in JSON.
type jobDocument struct {
	ID           string `json:"id"           toml:"id"`
	Hall         string `json:"hall"         toml:"hall"`
	Team         string `json:"team"         toml:"team"`
	Kind         string `json:"kind"         toml:"kind"`
	Class        string `json:"class"        toml:"class"`
	Tasks        int    `json:"tasks"        toml:"tasks"`
	Processors   string `json:"processors"   toml:"processors"`
	Memory       string `json:"memory"       toml:"memory"`
	Accelerators int64  `json:"accelerators" toml:"accelerators"`
	Runtime      string `json:"runtime"      toml:"runtime"`
	Worth        int    `json:"worth"        toml:"worth"`
	Unrepeatable bool   `json:"unrepeatable" toml:"unrepeatable"`
	Command      string `json:"command"      toml:"command"`
}

// Parse decodes and validates a job file. A text that starts with "{" is JSON;
// any other text is TOML. The name of the file is only used in errors, which
// are of type [*Error].
func Parse(name string, text []byte) (File, error) {
	if name == "" {
		name = "job"
	}
	if len(text) > MaxFileBytes {
		return File{}, newError(name, fmt.Sprintf("%d bytes, at most %d", len(text), MaxFileBytes))
	}
	doc, err := decode(text)
	if err != nil {
		return File{}, newError(name, err.Error())
	}
	f, problems := doc.toFile()
	if len(problems) > 0 {
		return File{}, newError(name, problems...)
	}
	return f, nil
}

func newError(name string, problems ...string) error {
	return &Error{
		File:     name,
		Problems: problems,
	}
}

func decode(text []byte) (jobDocument, error) {
	var doc jobDocument
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		return doc, d.Decode(&doc)
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc)
	if err != nil {
		return doc, fmt.Errorf("%s", config.DescribeTOMLError(err))
	}
	return doc, nil
}

func (d jobDocument) toFile() (File, []string) {
	var problems []string
	reject := func(field, value, allowed string) {
		problems = append(problems, (&spoolsill.FieldError{
			Field:   field,
			Value:   value,
			Allowed: allowed,
		}).Error())
	}
	j := spoolsill.Job{
		ID:           spoolsill.JobID(d.ID),
		Team:         spoolsill.TeamID(d.Team),
		Kind:         spoolsill.Kind(d.Kind),
		Tasks:        d.Tasks,
		Worth:        d.Worth,
		Unrepeatable: d.Unrepeatable,
		Command:      d.Command,
	}
	if err := j.Class.UnmarshalText([]byte(d.Class)); err != nil {
		reject("class", d.Class, "urgent, normal or patient")
	}
	var ok bool
	if j.Shape.Processors, ok = ParseProcessors(d.Processors); !ok {
		reject("processors", d.Processors, `cores like "2" or "0.5", or "500m"`)
	}
	if j.Shape.Memory, ok = ParseMemory(d.Memory); !ok {
		reject("memory", d.Memory, `bytes like "512MiB" or "4GiB"`)
	}
	j.Shape.Accelerators = spoolsill.Accelerators(d.Accelerators)
	if d.Runtime != "" {
		runtime, err := time.ParseDuration(d.Runtime)
		if err != nil {
			reject("runtime", d.Runtime, `a duration like "90s" or "2h"`)
		}
		j.Runtime = runtime
	}
	if len(problems) == 0 {
		for _, e := range j.Validate() {
			problems = append(problems, e.Error())
		}
	}
	return File{
		Job:  j,
		Hall: spoolsill.HallID(d.Hall),
	}, problems
}

// maxCores is the maximum number of cores of a task.
const maxCores = 1 << 20

// ParseProcessors parses a number of cores such as "2", "0.5" or "500m"; the
// suffix m stands for millicores.
func ParseProcessors(s string) (spoolsill.Millicores, bool) {
	if m, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseInt(m, 10, 64)
		return spoolsill.Millicores(n), err == nil && n > 0 && n <= maxCores*int64(spoolsill.Core)
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0 && f <= maxCores) {
		return 0, false
	}
	return spoolsill.Millicores(f*float64(spoolsill.Core) + 0.5), true
}

var memoryPattern = regexp.MustCompile(`^([0-9]{1,12})(B|KiB|MiB|GiB|TiB)$`)

var memoryUnits = map[string]spoolsill.Bytes{
	"B":   1,
	"KiB": spoolsill.KiB,
	"MiB": spoolsill.MiB,
	"GiB": spoolsill.GiB,
	"TiB": spoolsill.GiB << 10,
}

const maxMemoryBytes = 1 << 50

// ParseMemory parses a memory size such as "512MiB" or "4GiB". A unit is required.
func ParseMemory(s string) (spoolsill.Bytes, bool) {
	m := memoryPattern.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	u := memoryUnits[m[2]]
	if err != nil || n <= 0 || n > maxMemoryBytes/int64(u) {
		return 0, false
	}
	return spoolsill.Bytes(n) * u, true
}
