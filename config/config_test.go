package config_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
)

func TestParseNamesEveryFault(t *testing.T) {
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
			name: "impossible value",
			text: "caller_rate_per_second = -1",
			want: ".*caller_rate_per_second: -1, want 0 to 1000000.*",
		},
		{
			name: "team twice",
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

func TestStoreNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	var s config.Store
	offer := func(v spoolsill.Version, text string) bool {
		ok, _ := s.Apply(config.Revision{
			Version: v,
			Text:    []byte(text),
		})
		return ok
	}
	c.Assert(offer(2, "caller_rate_per_second = 2"), qt.IsTrue)
	c.Assert(offer(1, "caller_rate_per_second = 1"), qt.IsFalse)
	c.Assert(offer(3, "nonsense = 1"), qt.IsFalse)
	c.Assert(s.Document().DefaultCallerRate, qt.Equals, 2)
	s.RaiseMinVersion(5)
	c.Assert(s.Behind(), qt.IsTrue)
	c.Assert(offer(4, ""), qt.IsFalse)
	c.Assert(offer(5, ""), qt.IsTrue)
	c.Assert(s.Current().Version, qt.Equals, spoolsill.Version(5))
}

func TestARestartedProcessServesNoOlderVersionThanItsHall(t *testing.T) {
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
