// Package jobfile reads the descriptions of jobs that operators write, in
// TOML or JSON.
//
// Every fault is an [*Error] that names the file, the field, the value and
// what is allowed; all faults of a file are reported at once.
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

// MaxFileBytes is the length in bytes of the longest job file.
const MaxFileBytes = 64 << 10

// A File is what a job file says.
type File struct {
	Job spoolsill.Job
	// Hall is where the job is to run; empty leaves it to the one who asks.
	Hall spoolsill.HallID
}

// An Error has all faults of a job file.
type Error struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *Error) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "; ")
}

type wireFile struct {
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

// Parse reads and checks a job file. A text that starts with "{" is JSON,
// another one TOML. It fails with an [*Error].
func Parse(name string, text []byte) (File, error) {
	if name == "" {
		name = "job"
	}
	if len(text) > MaxFileBytes {
		return File{}, fault(name, fmt.Sprintf("%d bytes, at most %d", len(text), MaxFileBytes))
	}
	w, err := decode(text)
	if err != nil {
		return File{}, fault(name, err.Error())
	}
	f, faults := w.file()
	if len(faults) > 0 {
		return File{}, fault(name, faults...)
	}
	return f, nil
}

func fault(name string, faults ...string) error {
	return &Error{
		File:     name,
		Problems: faults,
	}
}

func decode(text []byte) (wireFile, error) {
	var w wireFile
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		return w, d.Decode(&w)
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&w)
	if err != nil {
		return w, fmt.Errorf("%s", config.DescribeTOMLError(err))
	}
	return w, nil
}

func (w wireFile) file() (File, []string) {
	var faults []string
	note := func(field, value, allowed string) {
		faults = append(faults, (&spoolsill.FieldError{
			Field:   field,
			Value:   value,
			Allowed: allowed,
		}).Error())
	}
	j := spoolsill.Job{
		ID:           spoolsill.JobID(w.ID),
		Team:         spoolsill.TeamID(w.Team),
		Kind:         spoolsill.Kind(w.Kind),
		Tasks:        w.Tasks,
		Worth:        w.Worth,
		Unrepeatable: w.Unrepeatable,
		Command:      w.Command,
	}
	if err := j.Class.UnmarshalText([]byte(w.Class)); err != nil {
		note("class", w.Class, "urgent, normal or patient")
	}
	var ok bool
	if j.Shape.Processors, ok = ParseProcessors(w.Processors); !ok {
		note("processors", w.Processors, `cores like "2" or "0.5", or "500m"`)
	}
	if j.Shape.Memory, ok = ParseMemory(w.Memory); !ok {
		note("memory", w.Memory, `bytes like "512MiB" or "4GiB"`)
	}
	j.Shape.Accelerators = spoolsill.Accelerators(w.Accelerators)
	if w.Runtime != "" {
		d, err := time.ParseDuration(w.Runtime)
		if err != nil {
			note("runtime", w.Runtime, `a duration like "90s" or "2h"`)
		}
		j.Runtime = d
	}
	if len(faults) == 0 {
		for _, e := range j.Validate() {
			faults = append(faults, e.Error())
		}
	}
	return File{
		Job:  j,
		Hall: spoolsill.HallID(w.Hall),
	}, faults
}

// maxCores bounds the cores that a file may ask for.
const maxCores = 1 << 20

// ParseProcessors reads cores, as in "2", "0.5" or "500m".
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

const maxMemory = 1 << 50 // bytes

// ParseMemory reads bytes, as in "512MiB" or "4GiB".
func ParseMemory(s string) (spoolsill.Bytes, bool) {
	m := memoryPattern.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	u := memoryUnits[m[2]]
	if err != nil || n <= 0 || n > maxMemory/int64(u) {
		return 0, false
	}
	return spoolsill.Bytes(n) * u, true
}
