package packed_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill/internal/packed"
)

type sample struct {
	Name  string
	Count uint32
	Big   int64
	Parts []sample
	Flag  bool
}

// Guards against an encoding that the standard decoder, as used by other releases, can't
// read, and against a decoder that can't read rows in the standard encoding.
func TestEncodedValuesAreReadByAnyDecoder(t *testing.T) {
	v := sample{
		Name: "a",
		Big:  1 << 40,
		Parts: []sample{
			{
				Count: 3,
				Flag:  true,
			},
		},
	}
	b, err := packed.Encode(&v)
	qt.Assert(t, err, qt.IsNil)
	var got sample
	qt.Assert(t, msgpack.Unmarshal(b, &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, v)
	plain, err := msgpack.Marshal(&v)
	qt.Assert(t, err, qt.IsNil)
	rest, err := packed.Decode(plain, &got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rest, qt.HasLen, 0)
	qt.Check(t, got, qt.DeepEquals, v)
}
