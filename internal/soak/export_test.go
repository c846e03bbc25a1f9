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

// The bounds that tests name.
const (
	ConfigTime    = configTime
	PieceBytes    = pieceBytes
	PeerPort      = peerPort
	FirstViewPort = firstViewPort
)

// Carry has a path carry a piece.
func (p Path) Carry(ctx context.Context, bytes int, back bool) bool {
	return p.carry(ctx, bytes, back)
}

// NewView returns what a host is shown of the store at an address.
func NewView(host int, storeAt string) http.Handler {
	return newView(host, storeAt)
}
