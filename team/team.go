// Package team tells whose call it is: which team holds the key that a caller shows.
//
// A [Directory] is made from a configuration and never changes, so that a host has one
// for each configuration that it puts in force. It decides nothing else: what a call
// without a known key is answered depends on whether the host surely has the newest
// configuration, which the host knows.
//
// Keys are kept only as digests. No key is in an error or a [Fault].
package team

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/spoolsill/spoolsill"
)

// A Key is what callers show to prove that they belong to a team.
type Key string

// String keeps keys out of logs and errors.
func (Key) String() string {
	return "(key)"
}

// GoString is for %#v what String is for %v.
func (Key) GoString() string {
	return "(key)"
}

// A Entry is a team with the keys that it holds.
type Entry struct {
	ID   spoolsill.TeamID
	Keys []Key
}

// A Fault is something in a configuration that is surely not meant so. The directory
// follows a rule for each kind, and its calls go on.
type Fault struct {
	Team spoolsill.TeamID
	Text string
}

// String returns the fault for people.
func (f Fault) String() string {
	return fmt.Sprintf("team %q %s", string(f.Team), f.Text)
}

// saltBytes is the length of the random text that is digested before each key, so
// that nobody can choose keys with digests that are like each other.
const saltBytes = 16

type digest [sha256.Size]byte

// A Directory knows the keys of all teams. The zero value knows none. It is safe for
// concurrent use.
type Directory struct {
	salt   []byte
	keys   map[digest]holder
	faults []Fault
}

type holder struct {
	digest digest
	team   spoolsill.TeamID
}

// NewDirectory returns the directory of some teams. Of a key that two teams hold the
// first one is the holder; an empty key is nobody's; teams of one name are one team.
func NewDirectory(teams []Entry) *Directory {
	d := &Directory{
		salt: make([]byte, saltBytes),
		keys: map[digest]holder{},
	}
	_, _ = rand.Read(d.salt) // never fails, by its word
	named := map[spoolsill.TeamID]bool{}
	for _, t := range teams {
		if named[t.ID] {
			d.fault(t.ID, "is named twice")
		}
		named[t.ID] = true
		d.add(t)
	}
	return d
}

func (d *Directory) add(t Entry) {
	if t.ID == "" {
		d.fault(t.ID, "has no name, its keys are nobody's")
		return
	}
	if len(t.Keys) == 0 {
		d.fault(t.ID, "has no key, nobody can call for it")
	}
	for _, k := range t.Keys {
		if k == "" {
			d.fault(t.ID, "has an empty key")
			continue
		}
		x := d.digest(k)
		h, ok := d.keys[x]
		if ok && h.team != t.ID {
			d.fault(t.ID, fmt.Sprintf("has a key that team %q has as well", string(h.team)))
		}
		if !ok {
			d.keys[x] = holder{
				digest: x,
				team:   t.ID,
			}
		}
	}
}

func (d *Directory) fault(t spoolsill.TeamID, text string) {
	d.faults = append(d.faults, Fault{
		Team: t,
		Text: text,
	})
}

func (d *Directory) digest(k Key) digest {
	b := make([]byte, 0, saltBytes+len(k))
	b = append(b, d.salt...)
	return sha256.Sum256(append(b, k...))
}

// TeamOf returns the team that holds a key, and false if none does. How long it takes
// does not tell how much of a key is right.
func (d *Directory) TeamOf(k Key) (spoolsill.TeamID, bool) {
	if k == "" {
		return "", false
	}
	x := d.digest(k)
	h, ok := d.keys[x]
	if !ok || subtle.ConstantTimeCompare(h.digest[:], x[:]) != 1 {
		return "", false
	}
	return h.team, true
}

// Keys returns how many keys are known.
func (d *Directory) Keys() int {
	return len(d.keys)
}

// Faults returns what was surely not meant so.
func (d *Directory) Faults() []Fault {
	return d.faults
}
