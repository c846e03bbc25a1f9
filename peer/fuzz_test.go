package peer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/spoolsill/spoolsill/peer"
)

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 7, 0x82, 0xa1, 'k', 1, 0xa1, 'i', 2})
	frame, err := peer.EncodeCall("a body")
	if err != nil {
		f.Fatal(err)
	}
	compressed, err := peer.CompressFrames(frame, frame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compressed)
	f.Add(compressed[:len(compressed)-8])
	f.Add([]byte{0x80, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		err := peer.ReadFrame(bytes.NewReader(b))
		if err == nil || errors.Is(err, peer.ErrBadFrame) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return
		}
		t.Fatal(err)
	})
}
