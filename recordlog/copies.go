package recordlog

import (
	"sort"

	"github.com/spoolsill/spoolsill"
)

// MaxCopies bounds the entries that a host keeps for another.
const MaxCopies = 100_000

// Copies keeps the entries that the holder of the hall has handed over while
// the table was silent. It is not safe for concurrent use.
type Copies struct {
	epoch   spoolsill.Epoch
	entries map[spoolsill.Sequence]Entry
}

// Add keeps entries of an epoch. It reports false, and keeps none, when a
// later epoch is known or there are too many. Entries of earlier epochs are
// dropped.
func (c *Copies) Add(epoch spoolsill.Epoch, entries []Entry) bool {
	if epoch < c.epoch || len(c.entries)+len(entries) > MaxCopies {
		return false
	}
	c.Fence(epoch)
	for n, e := range c.entries {
		if e.Epoch < epoch {
			delete(c.entries, n)
		}
	}
	if c.entries == nil {
		c.entries = map[spoolsill.Sequence]Entry{}
	}
	for _, e := range entries {
		c.entries[e.Sequence] = e
	}
	return true
}

// Fence refuses all further copies of epochs before one.
func (c *Copies) Fence(epoch spoolsill.Epoch) {
	if epoch > c.epoch {
		c.epoch = epoch
	}
}

// Drop forgets the entries that are not needed any more once the table has the
// one that m marks: those up to it, and all of earlier epochs, which its writer
// has taken over.
func (c *Copies) Drop(m Mark) {
	for s, e := range c.entries {
		if e.Epoch < m.Epoch || e.Epoch == m.Epoch && s <= m.Sequence {
			delete(c.entries, s)
		}
	}
}

// Len returns the number of entries kept.
func (c *Copies) Len() int {
	return len(c.entries)
}

// All returns all kept entries, in order.
func (c *Copies) All() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Sequence < all[j].Sequence
	})
	return all
}

// After returns the kept entries that follow on sequence s without a gap. epoch
// is the one under which s was written: what was copied under an earlier one
// was taken over, or given up, by the holder that wrote s.
func (c *Copies) After(epoch spoolsill.Epoch, s spoolsill.Sequence) []Entry {
	var out []Entry
	for _, e := range c.All() {
		if e.Sequence == s+1 && e.Epoch >= epoch {
			out = append(out, e)
			s++
		}
	}
	return out
}
