package saturate_test

import (
	"math"
	"math/big"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill/internal/saturate"
)

// clamp returns x limited to the range of an int64.
func clamp(x *big.Int) int64 {
	switch {
	case x.IsInt64():
		return x.Int64()
	case x.Sign() > 0:
		return math.MaxInt64
	default:
		return math.MinInt64
	}
}

func TestArithmeticSaturates(t *testing.T) {
	numbers := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{0, 1, -1, math.MaxInt64, math.MinInt64, 1 << 31, 1 << 32}))
	rapid.Check(t, func(t *rapid.T) {
		a, b := numbers.Draw(t, "a"), numbers.Draw(t, "b")
		x, y := big.NewInt(a), big.NewInt(b)
		if got, want := saturate.Add(a, b), clamp(new(big.Int).Add(x, y)); got != want {
			t.Fatalf("%d + %d is %d, want %d", a, b, got, want)
		}
		if got, want := saturate.Mul(a, b), clamp(new(big.Int).Mul(x, y)); got != want {
			t.Fatalf("%d * %d is %d, want %d", a, b, got, want)
		}
	})
}

func TestFromFloatSaturates(t *testing.T) {
	for f, want := range map[float64]int64{
		1.9:               1,
		-1.9:              -1,
		1e19:              math.MaxInt64,
		-1e19:             math.MinInt64,
		math.Inf(1):       math.MaxInt64,
		math.Inf(-1):      math.MinInt64,
		float64(1 << 63):  math.MaxInt64,
		-float64(1 << 63): math.MinInt64,
	} {
		qt.Check(t, saturate.FromFloat[int64](f), qt.Equals, want, qt.Commentf("%v", f))
	}
	qt.Check(t, saturate.FromFloat[int64](math.NaN()), qt.Equals, int64(0))
}
