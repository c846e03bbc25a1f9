// Package saturate has integer arithmetic whose results are limited to the range of their type
// instead of overflowing.
package saturate

import "math"

// Add returns a + b.
func Add[T ~int64](a, b T) T {
	sum := a + b
	switch {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}

// Mul returns a * b.
func Mul[T ~int64](a, b T) T {
	if a == 0 || b == 0 {
		return 0
	}
	p := a * b
	overflow := p/b != a || a == -1 && b == math.MinInt64 || b == -1 && a == math.MinInt64
	switch {
	case !overflow:
		return p
	case (a < 0) == (b < 0):
		return math.MaxInt64
	default:
		return math.MinInt64
	}
}

// FromFloat converts f, rounding towards zero. Converting a float that is out of range by other means
// gives results that depend on the processor. NaN becomes 0.
func FromFloat[T ~int64](f float64) T {
	switch {
	case f != f:
		return 0
	case f >= math.MaxInt64:
		return math.MaxInt64
	case f <= math.MinInt64:
		return math.MinInt64
	default:
		return T(f)
	}
}
