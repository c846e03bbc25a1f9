package lease

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
)

// ErrBadRow is returned for a lease row that can't be decoded.
var ErrBadRow = errors.New("lease: bad row")

// A Row is the state of a hall's lease, as stored in the table.
type Row struct {
	// Holder and Incarnation identify the process that last acquired the lease.
	Holder      spoolsill.HostID      `msgpack:"h"`
	Incarnation spoolsill.Incarnation `msgpack:"i"`
	// Epoch increases by one each time the lease is acquired.
	Epoch spoolsill.Epoch `msgpack:"e"`
	// WriteID increases with each write and distinguishes the writes of one holder.
	WriteID uint64 `msgpack:"b"`
	// Roster lists the hosts that may hold the lease: the holder and those that may
	// succeed it.
	Roster []spoolsill.HostID `msgpack:"r"`
	// Released reports that the holder has released the lease.
	Released bool `msgpack:"x"`
}

// Encode returns r as the value of its row in the table, in msgpack.
func (r Row) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes the result of [Row.Encode]. Its error wraps [ErrBadRow].
func Decode(b []byte) (Row, error) {
	var r Row
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrBadRow, err)
	}
	return r, nil
}

// Key returns the key of a hall's lease row.
func Key(h spoolsill.HallID) string {
	return "lease/" + string(h)
}

// EpochKey returns the key of the row that is written only when the lease of a hall
// is acquired. The holder's writes are conditional on the version of this row, so they
// fail once the lease has been acquired again.
func EpochKey(h spoolsill.HallID) string {
	return "epoch/" + string(h)
}

func (r Row) onRoster(h spoolsill.HostID) bool {
	for _, x := range r.Roster {
		if x == h {
			return true
		}
	}
	return false
}
