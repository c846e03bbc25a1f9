package team_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/team"
)

func TestTeamOf(t *testing.T) {
	d := team.NewDirectory([]team.Entry{
		{
			ID:   "a",
			Keys: []team.Key{"ka1", "ka2", ""},
		},
		{
			ID:   "b",
			Keys: []team.Key{"kb", "ka2"},
		},
		{
			ID: "without-keys",
		},
		{
			ID:   "",
			Keys: []team.Key{"nobody's"},
		},
		{
			ID:   "a",
			Keys: []team.Key{"ka3"},
		},
	})
	for _, c := range []struct {
		name  string
		key   team.Key
		team  spoolsill.TeamID
		known bool
	}{
		{"of a team", "kb", "b", true},
		{"one of several", "ka1", "a", true},
		{"of two teams is the first one's", "ka2", "a", true},
		{"of a team that is named twice", "ka3", "a", true},
		{"empty", "", "", false},
		{"unknown", "kb2", "", false},
		{"beginning of a key", "k", "", false},
		{"of a team without a name", "nobody's", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			id, known := d.TeamOf(c.key)
			qt.Check(t, known, qt.Equals, c.known)
			qt.Check(t, id, qt.Equals, c.team)
		})
	}
	var faults []string
	for _, f := range d.Faults() {
		faults = append(faults, f.String())
	}
	qt.Check(t, faults, qt.DeepEquals, []string{
		`team "a" has an empty key`,
		`team "b" has a key that team "a" has as well`,
		`team "without-keys" has no key, nobody can call for it`,
		`team "" has no name, its keys are nobody's`,
		`team "a" is named twice`,
	})
}

func TestKeysAreNotPrinted(t *testing.T) {
	const secret = "secret-key"
	m := team.Entry{
		ID:   "a",
		Keys: []team.Key{secret},
	}
	for _, f := range []string{"%v", "%+v", "%s", "%q", "%#v"} {
		qt.Check(t, strings.Contains(fmt.Sprintf(f, m), secret), qt.IsFalse, qt.Commentf("%s", f))
		d := fmt.Sprintf(f, team.NewDirectory([]team.Entry{m}))
		qt.Check(t, strings.Contains(d, secret), qt.IsFalse, qt.Commentf("%s", f))
	}
}
