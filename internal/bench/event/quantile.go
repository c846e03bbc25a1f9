package event

import (
	"math"
	"sort"
	"time"
)

// Quantiles are those of a set of times, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// QuantilesOf returns the exact quantiles of times.
func QuantilesOf(list []time.Duration) Quantiles {
	s := append([]time.Duration(nil), list...)
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	at := func(q float64) float64 {
		if len(s) == 0 {
			return 0
		}
		i := min(max(int(math.Ceil(q*float64(len(s))))-1, 0), len(s)-1)
		return math.Round(float64(s[i].Microseconds())) / 1000
	}
	return Quantiles{
		Count: len(s),
		P50:   at(0.5),
		P99:   at(0.99),
		P999:  at(0.999),
	}
}
