package soak_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/soak"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

// A host that reads the leader's row gets the address of the proxy between the two hosts.
func TestHostReadsLeaderAddressOfLink(t *testing.T) {
	s := cellfake.NewStore()
	backend := httptest.NewServer(wire.StoreHandler(s))
	defer backend.Close()
	view := httptest.NewServer(soak.NewStoreView(3, backend.Listener.Addr().String()))
	defer view.Close()
	c := platform.NewStore(view.Listener.Addr().String(), nil)
	h, _, err := leader.ReadHead(t.Context(), c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h, qt.DeepEquals, leader.Head{})
	want := leader.Head{
		Epoch:      7,
		Host:       "host0",
		Address:    fmt.Sprint("127.0.0.9:", soak.PeerPort),
		WriteCount: 12,
	}
	b, err := msgpack.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	s.Put(store.Put{
		Key:   leader.HeadKey,
		Value: b,
	})
	h, v, err := leader.ReadHead(t.Context(), c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.Equals, store.Version(1))
	want.Address = fmt.Sprint("127.0.0.9:", soak.FirstLinkPort+3)
	qt.Assert(t, h, qt.DeepEquals, want)
}
