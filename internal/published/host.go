// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/wingvale/wingvale/pipeline"
)

// Role tells what runs at a host's address.
type Role string

// Roles of the host list.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RolePool    Role = "pool"
	RoleService Role = "service"
)

// Host is one line of the platform's host list.
type Host struct {
	// Address is where the host is reached and equals the line's key.
	Address netip.AddrPort `json:"address"`
	// Peer is where an entry host is reached by the others; entry only.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Role tells what runs there.
	Role Role `json:"role"`
	// Pool names the pool of a backend server.
	Pool string `json:"pool,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Leaving says that the host must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Instance tells one run of a backend server from the next at its address.
	Instance string `json:"instance,omitempty"`
	// ChecksOrders says that an engine refuses orders with an old fence.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}

// DecodeHost reads one line of the host list and checks it.
func DecodeHost(key string, data []byte) (Host, error) {
	var h Host
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil {
		return Host{}, fmt.Errorf("published: host %s: %w", key, err)
	}
	if err := h.check(key); err != nil {
		return Host{}, fmt.Errorf("published: host %s: %w", key, err)
	}
	return h, nil
}

func (h Host) check(key string) error {
	if !h.Address.IsValid() || h.Address.String() != key {
		return fmt.Errorf("address %q is not the key", h.Address)
	}
	if err := pipeline.CheckName("zone", h.Zone); err != nil {
		return err
	}
	if len(h.Instance) > pipeline.MaxNameBytes {
		return fmt.Errorf("instance of %d bytes, at most %d are allowed", len(h.Instance), pipeline.MaxNameBytes)
	}
	switch h.Role {
	case RoleEntry:
		if !h.Peer.IsValid() {
			return fmt.Errorf("an entry host needs a peer address")
		}
		return nil
	case RoleEngine, RolePool, RoleService:
		return pipeline.CheckName("pool", h.Pool)
	default:
		return fmt.Errorf("role %q, want %q, %q, %q or %q", h.Role, RoleEntry, RoleEngine, RolePool, RoleService)
	}
}
