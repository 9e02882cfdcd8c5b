// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/request"
)

// Limits of a single message.
const (
	maxMembers     = 64
	maxLeaving     = 256
	maxKeys        = published.MaxKeys
	maxReplyBytes  = 4 << 20
	maxMessageSize = 8 << 20
)

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func decodeAddress(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return netip.AddrPort{}, fmt.Errorf("peer: decode address: %w", err)
	}
	return a, nil
}

func memberMessage(m fleet.Member) *peerpb.Member {
	return &peerpb.Member{
		Address:     encodeAddress(m.Address),
		Peer:        encodeAddress(m.Peer),
		Zone:        m.Zone,
		Incarnation: uint64(m.Incarnation),
		Beat:        m.Beat,
		State:       uint32(m.State),
		Load:        int32(m.Load),
		Capacity:    uint32(m.Capacity),
		Reads:       m.Reads,
		Isolated:    m.Isolated,
		Contact:     contactMessage(m.Contact),
	}
}

// contactMessage returns nil for the zero Contact.
func contactMessage(c fleet.Contact) *peerpb.Contact {
	if c == (fleet.Contact{}) {
		return nil
	}
	message := &peerpb.Contact{AgeMs: uint32(min(c.Age.Milliseconds(), math.MaxUint32)), Doubtful: c.Doubtful}
	if c.Server.IsValid() {
		message.Server = encodeAddress(c.Server)
	}
	return message
}

// decodeContact decodes a contact. An unset message is the zero Contact.
func decodeContact(m *peerpb.Contact) (fleet.Contact, error) {
	c := fleet.Contact{Age: time.Duration(m.GetAgeMs()) * time.Millisecond, Doubtful: m.GetDoubtful()}
	if len(m.GetServer()) == 0 {
		return c, nil
	}
	var err error
	c.Server, err = decodeAddress(m.GetServer())
	return c, err
}

func memberMessages(members []fleet.Member) []*peerpb.Member {
	messages := make([]*peerpb.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, memberMessage(m))
	}
	return messages
}

func decodeMember(m *peerpb.Member) (fleet.Member, error) {
	address, err := decodeAddress(m.GetAddress())
	if err != nil {
		return fleet.Member{}, err
	}
	peer, err := decodeAddress(m.GetPeer())
	if err != nil {
		return fleet.Member{}, err
	}
	contact, err := decodeContact(m.GetContact())
	if err != nil {
		return fleet.Member{}, err
	}
	member := fleet.Member{
		Address:     address,
		Peer:        peer,
		Zone:        m.GetZone(),
		Incarnation: request.Incarnation(m.GetIncarnation()),
		Beat:        m.GetBeat(),
		State:       fleet.State(m.GetState()),
		Load:        int(m.GetLoad()),
		Capacity:    int(min(m.GetCapacity(), fleet.MaxCapacity)),
		Reads:       m.GetReads(),
		Isolated:    m.GetIsolated(),
		Contact:     contact,
	}
	return member, member.Check()
}

// decodeHeartbeatMembers decodes the members of a heartbeat.
func decodeHeartbeatMembers(messages []*peerpb.Member) ([]fleet.Member, error) {
	if len(messages) == 0 {
		return nil, fmt.Errorf("peer: 0 members, want 1 to %d: %w", maxMembers, errNoSender)
	}
	return decodeMembers(messages, maxMembers)
}

func decodeMembers(messages []*peerpb.Member, limit int) ([]fleet.Member, error) {
	if len(messages) > limit {
		return nil, fmt.Errorf("peer: %d members, at most %d are allowed", len(messages), limit)
	}
	members := make([]fleet.Member, 0, len(messages))
	for _, m := range messages {
		member, err := decodeMember(m)
		if err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}

func decodeLeaving(messages []*peerpb.LeavingServer) ([]fleet.Leaving, error) {
	if len(messages) > maxLeaving {
		return nil, fmt.Errorf("peer: %d leaving servers, at most %d are allowed", len(messages), maxLeaving)
	}
	servers := make([]fleet.Leaving, 0, len(messages))
	for _, m := range messages {
		address, err := decodeAddress(m.GetAddress())
		if err != nil {
			return nil, err
		}
		s := fleet.LeavingServer{Address: address, Instance: m.GetInstance()}
		if err := s.Check(); err != nil {
			return nil, err
		}
		servers = append(servers, fleet.Leaving{LeavingServer: s, Age: time.Duration(m.GetAgeMs()) * time.Millisecond})
	}
	return servers, nil
}

func newsMessages(news fleet.News) ([]*peerpb.Member, []*peerpb.LeavingServer) {
	members := memberMessages(news.Members)
	leaving := make([]*peerpb.LeavingServer, 0, len(news.Leaving))
	for _, s := range news.Leaving {
		age := uint32(min(s.Age.Milliseconds(), math.MaxUint32))
		leaving = append(leaving, &peerpb.LeavingServer{Address: encodeAddress(s.Address), Instance: s.Instance, AgeMs: age})
	}
	return members, leaving
}

func entryMessages(entries []published.Entry) []*peerpb.Entry {
	messages := make([]*peerpb.Entry, 0, len(entries))
	for _, e := range entries {
		messages = append(messages, &peerpb.Entry{
			Key: e.Key, Era: e.Era, Revision: e.Revision, Sequence: e.Sequence, Removed: e.Removed, Data: e.Data,
		})
	}
	return messages
}

func decodeEntries(messages []*peerpb.Entry) []published.Entry {
	entries := make([]published.Entry, 0, len(messages))
	for _, m := range messages {
		e := published.Entry{Key: m.GetKey(), Era: m.GetEra(), Revision: m.GetRevision(), Removed: m.GetRemoved()}
		if !e.Removed {
			e.Data, e.Sequence = m.GetData(), m.GetSequence()
		}
		entries = append(entries, e)
	}
	return entries
}

func versionMessages(versions map[string]published.Version) []*peerpb.KeyVersion {
	messages := make([]*peerpb.KeyVersion, 0, len(versions))
	for key, v := range versions {
		messages = append(messages, versionMessage(key, v))
	}
	return messages
}

func versionMessage(key string, v published.Version) *peerpb.KeyVersion {
	return &peerpb.KeyVersion{
		Key: key, Sequence: v.Sequence, Era: v.Era, Revision: v.Revision, Digest: v.Digest, Bytes: uint64(v.Bytes),
	}
}

func decodeVersion(m *peerpb.KeyVersion) published.Version {
	return published.Version{
		Sequence: m.GetSequence(), Era: m.GetEra(), Revision: m.GetRevision(), Digest: m.GetDigest(),
		Bytes: int(min(m.GetBytes(), maxMessageSize)),
	}
}

func decodeVersions(messages []*peerpb.KeyVersion) map[string]published.Version {
	versions := make(map[string]published.Version, len(messages))
	for _, m := range messages {
		versions[m.GetKey()] = decodeVersion(m)
	}
	return versions
}
