package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/fairshare"
)

// BenchmarkCharge measures the charge of one job in a cell that has twice the work that it can do, from
// some teams, 50 jobs a second.
func BenchmarkCharge(b *testing.B) {
	for _, n := range []int{20, 400} {
		b.Run(fmt.Sprint(n, " teams"), func(b *testing.B) {
			var teams []fairshare.Team
			for i := range n {
				teams = append(teams, fairshare.Team{
					ID:     spoolsill.TeamID(fmt.Sprint("t", i)),
					Weight: 1,
				})
			}
			l := newLedger(teams...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				at := time.Duration(i) * 20 * time.Millisecond
				l.Charge(work(spoolsill.JobID(fmt.Sprint(i)), teams[i%n].ID, at, 40*time.Millisecond, 6*time.Second))
				l.Admitted()
			}
		})
	}
}
