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

// State is what the view holds of a member.
type State int

const (
	// StateLive is a member that answers.
	StateLive State = iota
	// StateSuspect is a member that has not answered; it may refute that.
	StateSuspect
	// StateLeaving is a member that is stopping as planned. It sticks.
	StateLeaving
	// StateGone is a member that was suspect for long, or has stopped.
	StateGone
)

var stateNames = []string{"live", "suspect", "leaving", "gone"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Member is one entry host as some node last knew it.
type Member struct {
	// Address is where callers reach the member; it names it.
	Address netip.AddrPort `json:"address"`
	// Peer is where other nodes reach it.
	Peer netip.AddrPort `json:"peer"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Incarnation is the one that its request ids bear.
	Incarnation request.Incarnation `json:"incarnation"`
	// Beat orders what is said of a member. Only the member itself raises it:
	// at its start to the clock, and by one to refute a suspicion.
	Beat uint64 `json:"beat"`
	// State is what is said.
	State State `json:"state"`
	// Load is how busy the member says it is, in thousandths of what it admits.
	Load int `json:"load"`
	// Capacity is how much the host can do beside others, from 1 to
	// CapacityMost; 0 is not told.
	Capacity int `json:"capacity,omitempty"`
	// Reads says that the publisher answers the member.
	Reads bool `json:"reads,omitempty"`
}

// CapacityMost is the largest capacity of a member.
const CapacityMost = 64

// Check reports the first thing wrong with m as it came from a peer.
func (m Member) Check() error {
	if !m.Address.IsValid() || !m.Peer.IsValid() {
		return fmt.Errorf("fleet: member with address %q and peer %q", m.Address, m.Peer)
	}
	if err := pipeline.CheckName("zone", m.Zone); err != nil {
		return err
	}
	if m.Capacity < 0 || m.Capacity > CapacityMost {
		return fmt.Errorf("fleet: member %s with capacity %d", m.Address, m.Capacity)
	}
	if m.State < StateLive || m.State > StateGone {
		return fmt.Errorf("fleet: member %s with state %d", m.Address, m.State)
	}
	return nil
}

// supersedes reports whether m says more than old of the same address.
func (m Member) supersedes(old Member) bool {
	if c := cmp.Compare(m.Beat, old.Beat); c != 0 {
		return c > 0
	}
	return m.State > old.State
}
