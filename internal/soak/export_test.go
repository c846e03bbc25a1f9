package soak

import (
	"context"
	"net/http"
)

// OneTask returns the steps of a job of one task.
func OneTask() []step {
	return []step{
		{
			Count: 1,
		},
	}
}

// Constants for tests.
const (
	ConfigTime    = configTime
	PieceBytes    = pieceBytes
	PeerPort      = peerPort
	FirstLinkPort = firstLinkPort
)

// Carry exposes carry to tests.
func (p Path) Carry(ctx context.Context, bytes int, back bool) bool {
	return p.carry(ctx, bytes, back)
}

// NewStoreView exposes newStoreView to tests.
func NewStoreView(host int, storeAt string) http.Handler {
	return newStoreView(host, storeAt)
}
