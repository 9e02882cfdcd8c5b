// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"fmt"
	"net/netip"

	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
)

// State is the state of a member in a view.
type State int

const (
	// StateLive is a member that answers.
	StateLive State = iota
	// StateSuspect is a member that did not answer. It may refute the suspicion.
	StateSuspect
	// StateLeaving is a member that is shutting down as planned. It does not become live again.
	StateLeaving
	// StateGone is a member that was suspect for too long or has shut down.
	StateGone
)

var stateNames = []string{"live", "suspect", "leaving", "gone"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Member is the latest known record of an entry host.
type Member struct {
	// Address is the address that callers use. It identifies the member.
	Address netip.AddrPort `json:"address"`
	// Peer is the address of the peer protocol.
	Peer netip.AddrPort `json:"peer"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Incarnation is the incarnation in the request ids of the member.
	Incarnation request.Incarnation `json:"incarnation"`
	// Beat orders the records of a member. Only the member itself increases it: it starts at
	// the clock, and increases by one to refute a suspicion.
	Beat uint64 `json:"beat"`
	// State is the state of the member in this record.
	State State `json:"state"`
	// Load is the load that the member reports, in thousandths of what it admits.
	Load int `json:"load"`
	// Capacity is the capacity of the host relative to other hosts, from 1 to MaxCapacity; 0
	// means unknown.
	Capacity int `json:"capacity,omitempty"`
	// Reads reports whether the member can read from the publisher.
	Reads bool `json:"reads,omitempty"`
	// Isolated reports whether the member has lost its links to all backend servers.
	Isolated bool `json:"isolated,omitempty"`
	// Contact is what the member says of its links in a message of its own. It is zero in records
	// that other members pass on.
	Contact Contact `json:"-"`
}

// MaxCapacity is the maximum capacity of a member.
const MaxCapacity = 64

// Check reports the first invalid field of m, as received from a peer.
func (m Member) Check() error {
	if !m.Address.IsValid() || !m.Peer.IsValid() {
		return fmt.Errorf("fleet: invalid member: address %q, peer address %q", m.Address, m.Peer)
	}
	if err := pipeline.CheckName("zone", m.Zone); err != nil {
		return err
	}
	if m.Capacity < 0 || m.Capacity > MaxCapacity {
		return fmt.Errorf("fleet: member %s: invalid capacity %d", m.Address, m.Capacity)
	}
	if m.State < StateLive || m.State > StateGone {
		return fmt.Errorf("fleet: member %s: invalid state %d", m.Address, m.State)
	}
	return nil
}

// supersedes reports whether m is a newer record than old of the same address.
func (m Member) supersedes(old Member) bool {
	if c := cmp.Compare(m.Beat, old.Beat); c != 0 {
		return c > 0
	}
	return m.State > old.State
}
