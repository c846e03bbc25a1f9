package node

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// The bounds that tests name.
const (
	FeedFirst  = feedFirst
	PieceBytes = pieceBytes
)

// Configs is what a host knows of configurations.
type Configs struct {
	configs *configs
}

// NewConfigs returns what a host knows that has just started.
func NewConfigs() Configs {
	return Configs{
		configs: newConfigs(),
	}
}

// Offer takes in that another host has a version of some length.
func (c Configs) Offer(v spoolsill.Version, size int, now time.Time) {
	c.configs.offeredBy("other", heldConfig{
		Version: v,
		Size:    size,
	}, now)
}

// Due reports whether a newer version is on offer and to be fetched now.
func (c Configs) Due(now time.Time) bool {
	_, due, ok := c.configs.wanted(now)
	return ok && due
}

// Set puts a version in force.
func (c Configs) Set(v spoolsill.Version, now time.Time) {
	c.configs.set(knownConfig{
		version: v,
	}, now)
}

// Misread takes in that what the store told can't be read.
func (c Configs) Misread() {
	c.configs.setMisread(true)
}

// Hear takes in that the store has told of all changes before now.
func (c Configs) Hear(now time.Time) {
	c.configs.hear(now)
}

// Heard reports whether all changes before some time are known.
func (c Configs) Heard(now time.Time) bool {
	_, ok := c.configs.age(now)
	return ok
}

// A PartialConfig is what has come of a configuration.
type PartialConfig struct {
	partial partialConfig
}

// Take adds bytes from the beginning of a version.
func (p *PartialConfig) Take(v spoolsill.Version, size, bytes int) {
	p.partial.take(pieceReply{
		Version: v,
		Size:    size,
		Data:    make([]byte, bytes),
	})
}

// Version returns which one has come in part.
func (p *PartialConfig) Version() spoolsill.Version {
	return p.partial.version
}

// NotMade reports whether a delegate's failure proves that it made no call.
func NotMade(err error) bool {
	return notMade(err)
}

// TicketsOverTheWire returns the tickets that a host reads from the reply to its question
// about workers, which is of this release or, unless inOrder, an earlier one.
func TicketsOverTheWire(inOrder bool, asked []spoolsill.WorkerID, tickets []sched.Ticket) []sched.Ticket {
	q := adviseRequest{
		Workers: asked,
		InOrder: inOrder,
	}
	return adviseReplyOf(q, tickets, time.Second).tickets(asked)
}
