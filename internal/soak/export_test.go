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
	ChunkBytes    = chunkBytes
	PeerPort      = peerPort
	FirstLinkPort = firstLinkPort
)

// Transfer exposes transfer to tests.
func (p Path) Transfer(ctx context.Context, bytes int, toCaller bool) bool {
	return p.transfer(ctx, bytes, toCaller)
}

// NewStoreView exposes newStoreView to tests.
func NewStoreView(host int, storeAddress string) http.Handler {
	return newStoreView(host, storeAddress)
}
