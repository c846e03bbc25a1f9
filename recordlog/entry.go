package recordlog

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// Format is the format version of the entries that [Encode] writes.
const Format = 1

// MaxRecords is the maximum number of records in one entry.
const MaxRecords = 2048

// MaxEntryBytes is the maximum size in bytes of an encoded entry or snapshot that
// [Decode] accepts.
const MaxEntryBytes = 64 << 20

// ErrDamaged is returned for an entry that has an invalid length or checksum, or that
// cannot be decoded.
var ErrDamaged = errors.New("journal: damaged entry")

// ErrNewerFormat is returned for an entry with a newer format version than [Format].
var ErrNewerFormat = errors.New("journal: entry has a newer format")

// An Entry is a group of records that are written together. A snapshot is also encoded as
// an Entry, whose Sequence is that of the last entry it covers.
type Entry struct {
	Epoch       spoolsill.Epoch       `msgpack:"e"`
	Sequence    spoolsill.Sequence    `msgpack:"s"`
	Writer      spoolsill.HostID      `msgpack:"w"`
	Incarnation spoolsill.Incarnation `msgpack:"l"`
	Records     []place.Record        `msgpack:"r"`
}

// A Position identifies an entry of a journal by its sequence number and the epoch in
// which it was written.
type Position struct {
	Epoch    spoolsill.Epoch    `msgpack:"e"`
	Sequence spoolsill.Sequence `msgpack:"s"`
}

const headerLength = 1 + 8 // format version and checksum

// Encode returns the encoding of e, which starts with the format version and a checksum.
func Encode(e Entry) ([]byte, error) {
	body, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, err
	}
	out := make([]byte, headerLength, headerLength+len(body))
	out[0] = Format
	binary.BigEndian.PutUint64(out[1:], xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode decodes an entry written by [Encode]. Its errors wrap [ErrDamaged] or
// [ErrNewerFormat].
func Decode(b []byte) (Entry, error) {
	if len(b) < headerLength || len(b) > MaxEntryBytes {
		return Entry{}, fmt.Errorf("%w: %d bytes", ErrDamaged, len(b))
	}
	if b[0] > Format {
		return Entry{}, fmt.Errorf("%w: format %d, this program reads up to %d", ErrNewerFormat, b[0], Format)
	}
	body := b[headerLength:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[1:]) {
		return Entry{}, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	var e Entry
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return e, nil
}

// Prefix returns the common prefix of the row keys of a hall's entries.
func Prefix(h spoolsill.HallID) string {
	return "journal/" + string(h) + "/"
}

// Key returns the row key of an entry. Keys sort by sequence number.
func Key(h spoolsill.HallID, s spoolsill.Sequence) string {
	return fmt.Sprintf("%s%016d", Prefix(h), uint64(s))
}

// SnapshotKey returns the key of the row that names the object with the newest snapshot
// of a hall.
func SnapshotKey(h spoolsill.HallID) string {
	return "snapshot/" + string(h)
}

// SnapshotObject returns the name of the object that holds the snapshot taken at
// sequence number s.
func SnapshotObject(h spoolsill.HallID, s spoolsill.Sequence) string {
	return fmt.Sprintf("snapshot/%s/%016d", h, uint64(s))
}
