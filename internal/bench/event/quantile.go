package event

import (
	"math"
	"sort"
	"time"
)

// Quantiles holds quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// QuantilesOf returns the exact quantiles of durations, by the nearest-rank method.
func QuantilesOf(durations []time.Duration) Quantiles {
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	quantile := func(q float64) float64 {
		if len(sorted) == 0 {
			return 0
		}
		i := min(max(int(math.Ceil(q*float64(len(sorted))))-1, 0), len(sorted)-1)
		return math.Round(float64(sorted[i].Microseconds())) / 1000
	}
	return Quantiles{
		Count: len(sorted),
		P50:   quantile(0.5),
		P99:   quantile(0.99),
		P999:  quantile(0.999),
	}
}
