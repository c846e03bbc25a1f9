package lease

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
)

// ErrRow is returned for a lease row that can't be read.
var ErrRow = errors.New("lease: bad row")

// A Row is the state of a hall's lease.
type Row struct {
	Holder      spoolsill.HostID      `msgpack:"h"`
	Incarnation spoolsill.Incarnation `msgpack:"i"`
	Epoch       spoolsill.Epoch       `msgpack:"e"`
	// Beat grows with each write and tells the writes of one holder apart.
	Beat uint64 `msgpack:"b"`
	// Roster lists the hosts that may take the lease over.
	Roster []spoolsill.HostID `msgpack:"r"`
	// Released says that the holder gave the lease back.
	Released bool `msgpack:"x"`
}

// Encode returns r as it is kept in the table.
func (r Row) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads what [Row.Encode] wrote. It fails with [ErrRow].
func Decode(b []byte) (Row, error) {
	var r Row
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrRow, err)
	}
	return r, nil
}

// Key returns the key of a hall's lease row.
func Key(h spoolsill.HallID) string {
	return "lease/" + string(h)
}

// EpochKey returns the key of the row that changes only when the lease of a
// hall changes hands. Writes of the holder are conditional on its version.
func EpochKey(h spoolsill.HallID) string {
	return "epoch/" + string(h)
}

func (r Row) lists(h spoolsill.HostID) bool {
	for _, x := range r.Roster {
		if x == h {
			return true
		}
	}
	return false
}
