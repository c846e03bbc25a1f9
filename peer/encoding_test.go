package peer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/peer"
)

// A renewal is the most frequent call between hosts, with typical values.
type renewal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Worker   string
	Address  string
	Fence    uint64
	Deadline int64
	LastSeen uint64
	Wait     time.Duration
	Within   time.Duration
}

func typicalRenewal() renewal {
	return renewal{
		Worker:   "i-c61488dfcf",
		Address:  "10.3.64.55:8302",
		Fence:    3,
		Deadline: 486_000,
		LastSeen: 57,
		Wait:     500 * time.Millisecond,
		Within:   60 * time.Millisecond,
	}
}

// Guards against integers encoded at the size of their type. Frames between hosts consist
// mostly of small integers: this call takes 89 bytes, and 130 with full-size integers.
func TestIntegersAreEncodedCompactly(t *testing.T) {
	a, b, _, _ := pair(t)
	peer.Handle(b, "renew", func(_ context.Context, _ peer.Caller, q renewal) (renewal, error) { return q, nil })
	r, err := peer.Call[renewal](t.Context(), a, "b", "renew", typicalRenewal())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r, qt.Equals, typicalRenewal())
	sent, _ := a.Traffic()
	qt.Check(t, sent <= 95, qt.IsTrue, qt.Commentf("%d bytes", sent))
}
