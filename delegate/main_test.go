package delegate_test

import (
	"os"
	"testing"

	"github.com/spoolsill/spoolsill/internal/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Main(m))
}
