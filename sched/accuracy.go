package sched

import (
	"time"

	"github.com/spoolsill/spoolsill/forecast"
)

// accuracyWeight is the weight of the newest job in the moving average of the forecast's error.
const accuracyWeight = 0.05

// forecastEnd returns how long a job that is being accepted is expected to take, as of the last
// outlook, or 0 if that is not known.
func (s *State) forecastEnd(j *job) time.Duration {
	if j.Rounds > 0 || s.queue(j).Service == "" {
		return 0
	}
	f := s.Describe(j.Job)
	f.OverShare = j.overShare
	d := s.outlook.Ends(f)
	if d == forecast.Never || f.Left == (forecast.Cost{}) {
		return 0
	}
	return d
}

// observeForecast updates the error of the forecast from a completed job.
func (s *State) observeForecast(j *job) {
	if j.account.Forecast == 0 {
		return
	}
	e := s.wallClock().Sub(j.Received) - j.account.Forecast
	s.forecastError += time.Duration(accuracyWeight * float64(e.Abs()-s.forecastError))
}
