package config

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/table"
)

// HeadKey is the key of the row that holds the newest accepted revision.
const HeadKey = "config/head"

// historyPrefix is the common prefix of the keys of all revisions.
const historyPrefix = "config/version/"

// HistoryPrefix returns the common prefix of the keys of all revisions.
func HistoryPrefix() string {
	return historyPrefix
}

// VersionKey returns the key of the row that holds the revision with version
// v. The version is padded with zeros, so that keys sort by version.
func VersionKey(v spoolsill.Version) string {
	return fmt.Sprintf("%s%012d", historyPrefix, uint64(v))
}

// A Revision is one version of the document.
type Revision struct {
	Version spoolsill.Version `msgpack:"v" json:"version"`
	Author  string            `msgpack:"w" json:"who"`
	// AcceptedAt is the Unix time of acceptance in seconds.
	AcceptedAt int64  `msgpack:"t" json:"when"`
	Note       string `msgpack:"n" json:"note"`
	Text       []byte `msgpack:"b" json:"-"`
	// Nonce distinguishes two revisions that were proposed with the same version.
	Nonce uint64 `msgpack:"o" json:"-"`
}

// Encode returns the encoding of r that is stored in the table.
func (r Revision) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeRevision decodes the output of [Revision.Encode].
func DecodeRevision(b []byte) (Revision, error) {
	var r Revision
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Revision{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	return r, nil
}

// AcceptTxn returns the transaction that accepts r. It applies only while the
// head row still has the row version headVersion (0: no such row) and no
// revision is stored under the version of r.
func AcceptTxn(r Revision, headVersion uint64) table.Txn {
	b := r.Encode()
	key := VersionKey(r.Version)
	return table.Txn{
		Conditions: []table.Condition{
			{
				Key:     HeadKey,
				Version: headVersion,
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

// A Store holds the revision in force in one process. The zero value holds none.
// It is not safe for concurrent use.
type Store struct {
	revision   Revision
	document   Document
	minVersion spoolsill.Version
}

// Apply puts r in force if its version is higher than the one in force and
// not below the minimum version, and reports whether it did. If the document
// is invalid, Apply returns an error and keeps the revision in force.
func (s *Store) Apply(r Revision) (bool, error) {
	if r.Version <= s.revision.Version || r.Version < s.minVersion {
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

// RaiseMinVersion records that version v is in force on another host of the
// hall. From then on, Apply ignores lower versions.
func (s *Store) RaiseMinVersion(v spoolsill.Version) {
	s.minVersion = max(s.minVersion, v)
}

// Behind reports whether another host of the hall has a higher version in
// force than s.
func (s *Store) Behind() bool {
	return s.revision.Version < s.minVersion
}

// Current returns the revision in force; its version is 0 when there is none.
func (s *Store) Current() Revision {
	return s.revision
}

// Document returns the document in force; it is empty when there is none.
func (s *Store) Document() Document {
	return s.document
}
