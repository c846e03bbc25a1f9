package soak

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

const (
	// clientKey is the key of the clients' team, and foreignKey that of another one.
	clientKey  = "key-of-clients"
	foreignKey = "key-of-others"
	// noKey is held by no configuration.
	noKey = "key-of-nobody"
	// turnsHeld is for how many configurations in a row a key is held that each new one
	// brings: more than may follow while a call is under way.
	turnsHeld = 4
	// quotaCores is what the clients' team may have running: half of what the usual
	// twelve workers have room for.
	quotaCores = 6 * room
)

// turnKey is the key that a configuration brings.
func turnKey(version int) string {
	return fmt.Sprintf("key-of-turn-%d", version)
}

// teamsOf returns the teams of a configuration.
func teamsOf(version int) []wire.Team {
	clients := wire.Team{
		ID:   "clients",
		Keys: []string{clientKey},
		Quota: spoolsill.Resources{
			Processors: quotaCores * spoolsill.Core,
		},
	}
	for v := max(version-turnsHeld+1, 1); v <= version; v++ {
		clients.Keys = append(clients.Keys, turnKey(v))
	}
	return []wire.Team{
		clients,
		{
			ID:   "others",
			Keys: []string{foreignKey},
		},
	}
}

// errsOnKeys reports whether a host refuses the key that a version brought for good, or
// serves one that is not held any more by then. A key that was never held must not be
// served, whatever the host knows.
func (x *run) errsOnKeys(ctx context.Context, c *client, p *Process, version int) bool {
	if x.countAs(ctx, c, p, noKey) == http.StatusOK {
		x.judge.ServedUnknown(p.Settings.Host)
	}
	dropped := version - turnsHeld
	return x.countAs(ctx, c, p, turnKey(version)) == http.StatusUnauthorized ||
		dropped > 0 && x.countAs(ctx, c, p, turnKey(dropped)) == http.StatusOK
}

// countAs asks a host with a key how many jobs wait, and returns the status.
func (x *run) countAs(ctx context.Context, c *client, p *Process, key string) int {
	status, _ := c.callAs(ctx, key, p.Settings.ClientAddress, http.MethodGet, "/patient/", "")
	return status
}
