package sched

import (
	"github.com/spoolsill/spoolsill"
)

// A Team is the part of the configuration that concerns one team.
type Team struct {
	ID spoolsill.TeamID
	// Weight is its share once all is full, in jobs a second; 0 means none.
	Weight float64
	// Most bounds what its runs may need together, over all workers; an entry of 0
	// means no bound.
	Most spoolsill.Resources
}
