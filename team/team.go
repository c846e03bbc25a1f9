// Package team authenticates callers: it finds the team that a caller's key belongs to.
//
// A [Directory] is built from a configuration and is immutable; a host builds one for each
// configuration that it puts in force. How a call without a known key is answered is up to the
// host, since it depends on whether the host is certain to have the newest configuration.
//
// Keys are kept only as digests. No key appears in an error or a [Fault].
package team

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/spoolsill/spoolsill"
)

// A Key is a secret by which callers prove that they belong to a team.
type Key string

// String keeps keys out of logs and errors.
func (Key) String() string {
	return "(key)"
}

// GoString keeps keys out of %#v.
func (Key) GoString() string {
	return "(key)"
}

// An Entry lists the keys of a team.
type Entry struct {
	ID   spoolsill.TeamID
	Keys []Key
}

// A Fault is a mistake in the configuration of a team. It does not make the configuration
// invalid: [NewDirectory] handles each kind by a fixed rule and accepts all other keys.
type Fault struct {
	Team spoolsill.TeamID
	Text string
}

// String returns a description of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("team %q %s", string(f.Team), f.Text)
}

// saltBytes is the length of the random salt that is hashed before each key, so that nobody
// can choose keys whose digests resemble each other.
const saltBytes = 16

type digest [sha256.Size]byte

// A Directory maps the keys of all teams to the teams. The zero value has no keys. It is safe
// for concurrent use.
type Directory struct {
	salt   []byte
	keys   map[digest]keyEntry
	faults []Fault
}

type keyEntry struct {
	digest digest
	team   spoolsill.TeamID
}

// NewDirectory returns the directory of some teams. A key that two teams have belongs to the
// first one, empty keys and entries without a name are ignored, and entries with the same name
// are one team.
func NewDirectory(teams []Entry) *Directory {
	d := &Directory{
		salt: make([]byte, saltBytes),
		keys: map[digest]keyEntry{},
	}
	_, _ = rand.Read(d.salt) // documented never to return an error
	seen := map[spoolsill.TeamID]bool{}
	for _, t := range teams {
		if seen[t.ID] {
			d.addFault(t.ID, "is named twice")
		}
		seen[t.ID] = true
		d.add(t)
	}
	return d
}

func (d *Directory) add(t Entry) {
	if t.ID == "" {
		d.addFault(t.ID, "has no name, its keys are nobody's")
		return
	}
	if len(t.Keys) == 0 {
		d.addFault(t.ID, "has no key, nobody can call for it")
	}
	for _, k := range t.Keys {
		if k == "" {
			d.addFault(t.ID, "has an empty key")
			continue
		}
		x := d.digest(k)
		e, ok := d.keys[x]
		if ok && e.team != t.ID {
			d.addFault(t.ID, fmt.Sprintf("has a key that team %q has as well", string(e.team)))
		}
		if !ok {
			d.keys[x] = keyEntry{
				digest: x,
				team:   t.ID,
			}
		}
	}
}

func (d *Directory) addFault(t spoolsill.TeamID, text string) {
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

// TeamOf returns the team that a key belongs to, and false if there is none. The time that it
// takes does not reveal how much of a key is right.
func (d *Directory) TeamOf(k Key) (spoolsill.TeamID, bool) {
	if k == "" {
		return "", false
	}
	x := d.digest(k)
	e, ok := d.keys[x]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], x[:]) != 1 {
		return "", false
	}
	return e.team, true
}

// KeyCount returns the number of known keys.
func (d *Directory) KeyCount() int {
	return len(d.keys)
}

// Faults returns the mistakes in the configuration.
func (d *Directory) Faults() []Fault {
	return d.faults
}
