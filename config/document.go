package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/spoolsill/spoolsill"
)

// ErrInvalidDocument is returned for a document that fails validation.
var ErrInvalidDocument = errors.New("config: document not accepted")

// Limits of a document. MaxRate is in requests per second.
const (
	MaxDocumentBytes = 1 << 20
	MaxTeams         = 2000
	MaxRate          = 1_000_000
	MaxWeight        = 1000
)

// A Document is the configuration of the cell.
type Document struct {
	// Teams lists the quotas of teams. A quota applies to the whole cell.
	Teams []Team `toml:"team"`
	// Callers lists the rate limits of callers.
	Callers []Caller `toml:"caller"`
	// DefaultCallerRate is the rate limit, in requests per second, of callers
	// that are not listed; 0 means no limit.
	DefaultCallerRate int `toml:"caller_rate_per_second"`
	// Drained lists the ids of workers and runners that get no new work.
	Drained []string `toml:"drained"`
}

// A Team is the quota of one team.
type Team struct {
	ID           spoolsill.TeamID `toml:"id"`
	Weight       int              `toml:"weight"`
	Processors   int64            `toml:"processors_millicores"`
	Memory       int64            `toml:"memory_bytes"`
	Accelerators int64            `toml:"accelerators"`
}

// Quota returns the team's quota as resources.
func (t Team) Quota() spoolsill.Resources {
	return spoolsill.Resources{
		Processors:   spoolsill.Millicores(t.Processors),
		Memory:       spoolsill.Bytes(t.Memory),
		Accelerators: spoolsill.Accelerators(t.Accelerators),
	}
}

// A Caller is the rate limit of one caller.
type Caller struct {
	ID    spoolsill.CallerID `toml:"id"`
	Rate  int                `toml:"rate_per_second"`
	Burst int                `toml:"burst"`
}

// Parse decodes and validates a document. Its error wraps [ErrInvalidDocument]
// and gives the location and reason of each problem.
func Parse(text []byte) (Document, error) {
	if len(text) > MaxDocumentBytes {
		return Document{}, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidDocument, len(text), MaxDocumentBytes)
	}
	var d Document
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&d)
	if err != nil {
		return Document{}, fmt.Errorf("%w: %s", ErrInvalidDocument, DescribeTOMLError(err))
	}
	if problems := d.validate(); len(problems) > 0 {
		return Document{}, fmt.Errorf("%w: %s", ErrInvalidDocument, strings.Join(problems, "; "))
	}
	return d, nil
}

// DescribeTOMLError formats a decoding error of go-toml with its line and key.
// It returns the text of any other error unchanged.
func DescribeTOMLError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, e := range strict.Errors {
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("line %d: unknown key %s", row, strings.Join(e.Key(), ".")))
		}
		return strings.Join(lines, "; ")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Sprintf("line %d column %d: key %s: %s", row, column, strings.Join(decode.Key(), "."), decode.Error())
	}
	return err.Error()
}

// validate returns a description of every invalid field.
func (d Document) validate() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(len(d.Teams) <= MaxTeams, "team: %d listed, at most %d", len(d.Teams), MaxTeams)
	require(d.DefaultCallerRate >= 0 && d.DefaultCallerRate <= MaxRate, "caller_rate_per_second: %d, want 0 to %d", d.DefaultCallerRate, MaxRate)
	teams := map[spoolsill.TeamID]bool{}
	for i, t := range d.Teams {
		require(t.ID != "", "team[%d].id: empty", i)
		require(!teams[t.ID], "team[%d].id: %q is listed twice", i, t.ID)
		require(t.Weight >= 0 && t.Weight <= MaxWeight, "team[%d].weight: %d, want 0 to %d", i, t.Weight, MaxWeight)
		require(!t.Quota().Negative(), "team[%d]: a quota is below 0", i)
		teams[t.ID] = true
	}
	callers := map[spoolsill.CallerID]bool{}
	for i, c := range d.Callers {
		require(c.ID != "", "caller[%d].id: empty", i)
		require(!callers[c.ID], "caller[%d].id: %q is listed twice", i, c.ID)
		require(c.Rate >= 1 && c.Rate <= MaxRate, "caller[%d].rate_per_second: %d, want 1 to %d", i, c.Rate, MaxRate)
		require(c.Burst >= 0 && c.Burst <= MaxRate, "caller[%d].burst: %d, want 0 to %d", i, c.Burst, MaxRate)
		callers[c.ID] = true
	}
	return problems
}
