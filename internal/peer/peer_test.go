// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
)

func validMember() *peerpb.Member {
	address := []byte{10, 0, 0, 1, 0x58, 0x1b}
	return &peerpb.Member{Address: address, Peer: address, Zone: "a", Beat: 7}
}

func TestInvalidMembersAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(m *peerpb.Member)
	}{
		{"no address", func(m *peerpb.Member) { m.Address = nil }},
		{"half an address", func(m *peerpb.Member) { m.Address = m.Address[:3] }},
		{"no peer address", func(m *peerpb.Member) { m.Peer = nil }},
		{"no zone", func(m *peerpb.Member) { m.Zone = "" }},
		{"an unknown state", func(m *peerpb.Member) { m.State = 99 }},
	}
	_, err := peer.DecodeHeartbeatMembers([]*peerpb.Member{validMember()})
	assert.NilError(t, err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := validMember()
			c.change(m)
			_, err := peer.DecodeHeartbeatMembers([]*peerpb.Member{m})
			assert.Assert(t, err != nil)
		})
	}
	many := make([]*peerpb.Member, 1000)
	for i := range many {
		many[i] = validMember()
	}
	_, err = peer.DecodeHeartbeatMembers(many)
	assert.ErrorContains(t, err, "1000 members")
	_, err = peer.DecodeHeartbeatMembers(nil)
	assert.ErrorContains(t, err, "0 members")
}

func FuzzMembers(f *testing.F) {
	data, err := proto.Marshal(&peerpb.ExchangeRequest{Members: []*peerpb.Member{validMember()}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in peerpb.ExchangeRequest
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		members, err := peer.DecodeHeartbeatMembers(in.GetMembers())
		if err != nil {
			return
		}
		for _, m := range members {
			assert.NilError(t, m.Check())
		}
	})
}
