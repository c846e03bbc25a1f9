package recordlog

import (
	"sort"

	"github.com/spoolsill/spoolsill"
)

// MaxCopies is the largest number of copied entries that a host keeps.
const MaxCopies = 100_000

// Copies holds entries that the hall's holder copied to this host while the table was
// unavailable. It is not safe for concurrent use.
type Copies struct {
	epoch   spoolsill.Epoch
	entries map[spoolsill.Sequence]Entry
}

// Add stores entries copied in an epoch, and drops entries of earlier epochs. If a
// later epoch is known, or there would be more than [MaxCopies] entries, it stores
// nothing and returns false.
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

// Fence makes [Copies.Add] reject entries of epochs before epoch from now on.
func (c *Copies) Fence(epoch spoolsill.Epoch) {
	if epoch > c.epoch {
		c.epoch = epoch
	}
}

// Drop removes the entries that are not needed any more once the table holds the entry
// at p: those up to p, and all of earlier epochs, which the writer of that entry has
// taken over.
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

// After returns the entries that follow sequence number s without a gap. Entries of
// epochs before epoch, in which s was written, are ignored: the holder that wrote s has
// taken them over or discarded them.
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
