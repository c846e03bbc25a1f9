package config

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/table"
)

// HeadKey is the key of the row that holds the newest accepted version.
const HeadKey = "config/head"

// historyPrefix starts the keys of the rows that keep every version.
const historyPrefix = "config/version/"

// HistoryPrefix returns the common start of the keys of all versions.
func HistoryPrefix() string {
	return historyPrefix
}

// VersionKey returns the key of the row that keeps a version.
func VersionKey(v spoolsill.Version) string {
	return fmt.Sprintf("%s%012d", historyPrefix, uint64(v))
}

// A Revision is one accepted document.
type Revision struct {
	Version spoolsill.Version `msgpack:"v" json:"version"`
	Author  string            `msgpack:"w" json:"who"`
	// AcceptedAt is Unix time in seconds.
	AcceptedAt int64  `msgpack:"t" json:"when"`
	Note       string `msgpack:"n" json:"note"`
	Text       []byte `msgpack:"b" json:"-"`
	// Nonce tells two revisions of the same number apart.
	Nonce uint64 `msgpack:"o" json:"-"`
}

// Encode returns r as it is kept in the table.
func (r Revision) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeRevision reads what [Revision.Encode] wrote.
func DecodeRevision(b []byte) (Revision, error) {
	var r Revision
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Revision{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	return r, nil
}

// AcceptTxn returns the transaction that accepts r on top of the head row that
// was read, with row version 0 for none.
func AcceptTxn(r Revision, head uint64) table.Txn {
	b := r.Encode()
	key := VersionKey(r.Version)
	return table.Txn{
		Conditions: []table.Condition{
			{
				Key:     HeadKey,
				Version: head,
			},
			{
				Key:     key,
				Version: 0,
			},
		},
		Puts: []table.Put{
			{
				Key:   HeadKey,
				Value: b,
			},
			{
				Key:   key,
				Value: b,
			},
		},
	}
}

// A Store holds the revision in force in one process. The zero value has none.
// It is not safe for concurrent use.
type Store struct {
	revision Revision
	document Document
	floor    spoolsill.Version
}

// Apply puts r in force if its version is higher than the one in force and
// not below the floor, and reports whether it did. A document that does not
// pass the checks is refused with an error, and the last good one stays.
func (s *Store) Apply(r Revision) (bool, error) {
	if r.Version <= s.revision.Version || r.Version < s.floor {
		return false, nil
	}
	d, err := Parse(r.Text)
	if err != nil {
		return false, err
	}
	s.revision = r
	s.document = d
	return true, nil
}

// RaiseMinVersion says that a version is in force elsewhere in the hall: no
// lower one is put in force from here on.
func (s *Store) RaiseMinVersion(v spoolsill.Version) {
	s.floor = max(s.floor, v)
}

// Behind reports whether the hall has a higher version in force than s.
func (s *Store) Behind() bool {
	return s.revision.Version < s.floor
}

// Current returns the revision in force; its version is 0 when there is none.
func (s *Store) Current() Revision {
	return s.revision
}

// Document returns the document in force, which is empty when there is none.
func (s *Store) Document() Document {
	return s.document
}
