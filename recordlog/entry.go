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

// Format is the format version that this package writes.
const Format = 1

// MaxRecords is the largest number of records in one entry.
const MaxRecords = 2048

// MaxEntry is the length in bytes of the longest entry or snapshot read.
const MaxEntry = 64 << 20

// ErrDamaged is returned for an entry whose check sum does not fit.
var ErrDamaged = errors.New("journal: damaged entry")

// ErrFuture is returned for an entry of a later format.
var ErrFuture = errors.New("journal: entry of a later format")

// An Entry is a group of records.
type Entry struct {
	Epoch    spoolsill.Epoch       `msgpack:"e"`
	Sequence spoolsill.Sequence    `msgpack:"s"`
	Writer   spoolsill.HostID      `msgpack:"w"`
	Life     spoolsill.Incarnation `msgpack:"l"`
	Records  []place.Record        `msgpack:"r"`
}

// A Mark says where a journal ends: the last entry, and the epoch under which
// it was written.
type Mark struct {
	Epoch    spoolsill.Epoch    `msgpack:"e"`
	Sequence spoolsill.Sequence `msgpack:"s"`
}

const headerLength = 1 + 8

// Encode returns e with its format version and check sum.
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

// Decode reads what [Encode] wrote. It fails with [ErrDamaged] or [ErrFuture].
func Decode(b []byte) (Entry, error) {
	if len(b) < headerLength || len(b) > MaxEntry {
		return Entry{}, fmt.Errorf("%w: %d bytes", ErrDamaged, len(b))
	}
	if b[0] > Format {
		return Entry{}, fmt.Errorf("%w: format %d, this program reads up to %d", ErrFuture, b[0], Format)
	}
	body := b[headerLength:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[1:]) {
		return Entry{}, fmt.Errorf("%w: check sum", ErrDamaged)
	}
	var e Entry
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return e, nil
}

// Prefix returns the common start of the keys of a hall's entries.
func Prefix(h spoolsill.HallID) string {
	return "journal/" + string(h) + "/"
}

// Key returns the key of an entry. Keys sort by sequence number.
func Key(h spoolsill.HallID, s spoolsill.Sequence) string {
	return fmt.Sprintf("%s%016d", Prefix(h), uint64(s))
}

// SnapshotKey returns the key of the row that names the newest snapshot of a
// hall.
func SnapshotKey(h spoolsill.HallID) string {
	return "snapshot/" + string(h)
}

// SnapshotObject returns the name of the object that holds a snapshot.
func SnapshotObject(h spoolsill.HallID, s spoolsill.Sequence) string {
	return fmt.Sprintf("snapshot/%s/%016d", h, uint64(s))
}
