package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cli"
)

func TestCheckOperatorConfigs(t *testing.T) {
	for _, c := range []struct {
		name  string
		teams string
		code  int
		text  string
	}{
		{"no teams", ``, cli.ExitOK, "no teams: callers need no keys"},
		{"teams", `,"tenants":[{"name":"a","apiKeys":["secret-1","secret-2"],"weight":5}]`, cli.ExitOK, "1 teams and 2 keys"},
		{"a key of two teams", `,"tenants":[{"name":"a","apiKeys":["secret-1"]},{"name":"b","apiKeys":["secret-1"]}]`, cli.ExitUsage, `team "b" has a key that team "a" has as well`},
		{"no key", `,"tenants":[{"name":"a","apiKeys":[]}]`, cli.ExitUsage, `team "a" has no key`},
		{"a name twice", `,"tenants":[{"name":"a","apiKeys":["secret-1"]},{"name":"a","apiKeys":["secret-2"]}]`, cli.ExitUsage, `team "a" is named twice`},
		{"a negative quota", `,"tenants":[{"name":"a","apiKeys":["secret-1"],"maxCount":{"cpu":-1}}]`, cli.ExitUsage, `must not be negative`},
		{"a key that is no text", `,"tenants":[{"name":"a","apiKeys":[17]}]`, cli.ExitUsage, "cannot unmarshal"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := filepath.Join(t.TempDir(), "config.json")
			doc := `{"version":3,"routes":[{"name":"q","host":"q.example","pathPrefix":"/q/","service":"s"}]` + c.teams + `}`
			qt.Assert(t, os.WriteFile(f, []byte(doc), 0o600), qt.IsNil)
			code, out, errs := run("check", "--operators", f)
			qt.Check(t, code, qt.Equals, c.code)
			qt.Check(t, out+errs, qt.Contains, c.text)
			qt.Check(t, strings.Contains(out+errs, "secret"), qt.IsFalse, qt.Commentf("a key in %q", out+errs))
		})
	}
}
