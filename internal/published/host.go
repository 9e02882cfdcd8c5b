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

// Role is the kind of process that runs at a host's address.
type Role string

// Roles of the host list.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RolePool    Role = "pool"
	RoleService Role = "service"
)

// Host is one entry of the platform's host list.
type Host struct {
	// Address is the address of the host. It equals the entry's key.
	Address netip.AddrPort `json:"address"`
	// Peer is the address of the peer protocol; entry hosts only.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Role is the kind of process at the address.
	Role Role `json:"role"`
	// Pool is the pool of a backend server.
	Pool string `json:"pool,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Leaving reports that the host must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Instance distinguishes the runs of backend servers at one address.
	Instance string `json:"instance,omitempty"`
	// ChecksOrders reports that an engine refuses orders with an outdated fence.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}

// DecodeHost decodes and validates one entry of the host list.
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
		return fmt.Errorf("address %q differs from the key", h.Address)
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
			return fmt.Errorf("entry host has no peer address")
		}
		return nil
	case RoleEngine, RolePool, RoleService:
		return pipeline.CheckName("pool", h.Pool)
	default:
		return fmt.Errorf("role %q, want %q, %q, %q or %q", h.Role, RoleEntry, RoleEngine, RolePool, RoleService)
	}
}
