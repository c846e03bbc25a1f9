// Package packed encodes values as compact MessagePack, and decodes untrusted or
// damaged input without excessive allocations or panics.
package packed

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrDamaged is returned for input that does not begin with a complete, valid value.
var ErrDamaged = errors.New("packed: not a complete value")

// Encode returns the compact encoding of v: integers have their shortest form, and zero
// fields of structs that are encoded as maps are omitted. Any MessagePack decoder reads it.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	e.SetOmitEmpty(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode decodes the first value of b into v and returns the bytes after it. It skips the
// value first, which checks the declared lengths against the size of b before anything is
// allocated: five bytes can declare an array of 2^32-1 entries. A panic of the library, as
// for nil instead of a time, is returned as ErrDamaged.
func Decode(b []byte, v any) (rest []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Skip(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	n := len(b) - r.Len()
	if err := msgpack.Unmarshal(b[:n], v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return b[n:], nil
}
