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
	// unknownKey is never configured.
	unknownKey = "key-of-nobody"
	// Each configuration adds a key, which is valid for keyLifetime configurations: more
	// than can be written while a call is in flight.
	keyLifetime = 4
	// quotaCores is the quota of the clients' team: half of the capacity of the usual
	// twelve workers.
	quotaCores = 6 * workerCapacity
)

// versionKey returns the key that a configuration adds.
func versionKey(version int) string {
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
	for v := max(version-keyLifetime+1, 1); v <= version; v++ {
		clients.Keys = append(clients.Keys, versionKey(v))
	}
	return []wire.Team{
		clients,
		{
			ID:   "others",
			Keys: []string{foreignKey},
		},
	}
}

// keysOutdated reports whether a host rejects the key that a version added, or accepts the
// key that it dropped. It records a violation if the host accepts a key that was never
// configured, whatever version the host has in force.
func (x *run) keysOutdated(ctx context.Context, c *client, p *Process, version int) bool {
	if x.jobCountStatus(ctx, c, p, unknownKey) == http.StatusOK {
		x.checker.UnknownKeyServed(p.Settings.Host)
	}
	dropped := version - keyLifetime
	return x.jobCountStatus(ctx, c, p, versionKey(version)) == http.StatusUnauthorized ||
		dropped > 0 && x.jobCountStatus(ctx, c, p, versionKey(dropped)) == http.StatusOK
}

// jobCountStatus queries the number of waiting jobs at a host with a key, and returns the
// status.
func (x *run) jobCountStatus(ctx context.Context, c *client, p *Process, key string) int {
	status, _ := c.callWithKey(ctx, key, p.Settings.ClientAddress, http.MethodGet, "/patient/", "")
	return status
}
