package recordlog

import (
	"sort"

	"github.com/spoolsill/spoolsill"
)

// MaxCopies is the maximum number of copied entries that a host keeps.
const MaxCopies = 100_000

// Copies holds entries that the hall's holder copied to this host while the table was
// unavailable. The zero value is empty and ready to use. It is not safe for concurrent
// use.
type Copies struct {
	epoch   spoolsill.Epoch // the latest known
	entries map[spoolsill.Sequence]Entry
}

// Add stores entries that the holder of the given epoch has copied, and drops those of
// earlier epochs. If a later epoch is known, or if the stored and the new entries together
// exceed [MaxCopies], it stores and drops nothing and returns false.
func (c *Copies) Add(epoch spoolsill.Epoch, entries []Entry) bool {
	if epoch < c.epoch || len(c.entries)+len(entries) > MaxCopies {
		return false
	}
	c.Fence(epoch)
	for s, e := range c.entries {
		if e.Epoch < epoch {
			delete(c.entries, s)
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

// Fence makes later calls of [Copies.Add] reject entries of epochs before epoch.
func (c *Copies) Fence(epoch spoolsill.Epoch) {
	if epoch > c.epoch {
		c.epoch = epoch
	}
}

// Drop removes the entries that are not needed once the entry at p is in the table: those
// of its epoch up to p, and all entries of earlier epochs, which the writer of the entry
// has taken over or discarded.
func (c *Copies) Drop(p Position) {
	for s, e := range c.entries {
		if e.Epoch < p.Epoch || e.Epoch == p.Epoch && s <= p.Sequence {
			delete(c.entries, s)
		}
	}
}

// Len returns the number of entries.
func (c *Copies) Len() int {
	return len(c.entries)
}

// All returns all entries, sorted by sequence number.
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

// After returns the entries that follow sequence number s without a gap. It ignores
// entries of epochs before epoch, the one in which s was written: the holder that wrote s
// has taken them over or discarded them.
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
