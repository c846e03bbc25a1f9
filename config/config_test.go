package config_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
)

func TestParseErrorNamesLineAndKey(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{
			name: "unknown key",
			text: "\nspeed = 3\n",
			want: ".*line 2: unknown key speed.*",
		},
		{
			name: "wrong type",
			text: "caller_rate_per_second = \"many\"",
			want: ".*line 1.*caller_rate_per_second.*",
		},
		{
			name: "value out of range",
			text: "caller_rate_per_second = -1",
			want: ".*caller_rate_per_second: -1, want 0 to 1000000.*",
		},
		{
			name: "duplicate team",
			text: "[[team]]\nid = \"a\"\n[[team]]\nid = \"a\"",
			want: `.*team\[1\].id: "a" is listed twice.*`,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			_, err := config.Parse([]byte(x.text))
			qt.Assert(t, errors.Is(err, config.ErrInvalidDocument), qt.IsTrue)
			qt.Assert(t, err, qt.ErrorMatches, x.want)
		})
	}
}

func TestStoreAppliesOnlyHigherVersions(t *testing.T) {
	c := qt.New(t)
	var s config.Store
	apply := func(v spoolsill.Version, text string) bool {
		ok, _ := s.Apply(config.Revision{
			Version: v,
			Text:    []byte(text),
		})
		return ok
	}
	c.Assert(apply(2, "caller_rate_per_second = 2"), qt.IsTrue)
	c.Assert(apply(1, "caller_rate_per_second = 1"), qt.IsFalse)
	c.Assert(apply(3, "nonsense = 1"), qt.IsFalse)
	c.Assert(s.Document().DefaultCallerRate, qt.Equals, 2)
	s.RaiseMinVersion(5)
	c.Assert(s.Behind(), qt.IsTrue)
	c.Assert(apply(4, ""), qt.IsFalse)
	c.Assert(apply(5, ""), qt.IsTrue)
	c.Assert(s.Current().Version, qt.Equals, spoolsill.Version(5))
}

// A restarted process has no revision in force. It must not apply a version
// lower than the one in force in its hall, which an outdated host may send.
func TestStoreIgnoresVersionsBelowMinimum(t *testing.T) {
	c := qt.New(t)
	var s config.Store
	s.RaiseMinVersion(7)
	ok, err := s.Apply(config.Revision{
		Version: 6,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Current().Version, qt.Equals, spoolsill.Version(0))
}
