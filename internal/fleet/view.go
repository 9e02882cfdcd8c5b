// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Options sets the durations of a View. Zero fields take the defaults.
type Options struct {
	// SuspectTimeout is how long a suspect may refute the suspicion before it is considered gone.
	SuspectTimeout time.Duration
	// ForgetAfter is how long a gone member is remembered.
	ForgetAfter time.Duration
	// LeavingRetention is how long a leaving backend server is remembered.
	LeavingRetention time.Duration
}

// Default values of Options.
const (
	DefaultSuspectTimeout   = 4 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultLeavingRetention = time.Hour
)

const (
	// spreadFactor times the logarithm of the fleet size is how often a change is passed on.
	spreadFactor = 3
	// MaxNews bounds the members in one message, and the leaving servers in it.
	MaxNews = 16
	// maxMembers and maxLeaving bound the size of a view.
	maxMembers = 4096
	maxLeaving = 1 << 16
)

// View is the view of one node. It is safe for concurrent use.
type View struct {
	options Options

	mu sync.Mutex
	// self is the record of the node itself; its Beat never decreases.
	self    Member
	members map[netip.AddrPort]*memberRecord
	// leaving has every leaving instance, including several that had the same address one
	// after the other.
	leaving map[LeavingServer]*leavingMark
	// leavingByAddress counts the instances in leaving by address; no count is 0.
	leavingByAddress map[netip.AddrPort]int
	// lastChangeAt is when a member last joined, left or changed its state.
	lastChangeAt time.Time
	// version increases when a member joins, leaves or restarts, or when anything in its record
	// changes except the beat and the load.
	version uint64
	// doubtedAt is when a member last asked for the contacts of others.
	doubtedAt time.Time
	// cachedSums has the sums of the view; nil if it changed since they were computed.
	cachedSums *Sums
}

type memberRecord struct {
	Member
	// stateSince is when the member entered its state.
	stateSince time.Time
	// reached is the backend server that the member reached last, as it said itself.
	reached Reached
	// spreads counts how often the state was passed on.
	spreads int
	// ended reports whether the member is gone because it was shut down as planned.
	ended bool
}

// New returns a view that holds only self.
func New(self Member, now time.Time, options Options) *View {
	options.SuspectTimeout = cmp.Or(options.SuspectTimeout, DefaultSuspectTimeout)
	options.ForgetAfter = cmp.Or(options.ForgetAfter, DefaultForgetAfter)
	options.LeavingRetention = cmp.Or(options.LeavingRetention, DefaultLeavingRetention)
	return &View{
		options:          options,
		self:             self,
		members:          make(map[netip.AddrPort]*memberRecord),
		leaving:          make(map[LeavingServer]*leavingMark),
		leavingByAddress: make(map[netip.AddrPort]int),
		lastChangeAt:     now,
	}
}

// Self returns the record of the node itself.
func (v *View) Self() Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// SetLoad sets the load that the node reports.
func (v *View) SetLoad(load int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Load = load
}

// SetReads sets whether the publisher answers the node, and reports whether that changed.
func (v *View) SetReads(reads bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Reads == reads {
		return false
	}
	v.self.Reads, v.cachedSums = reads, nil
	v.self.Beat++
	v.version++
	return true
}

// Leave marks the node itself as leaving. This cannot be undone.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State, v.cachedSums = StateLeaving, nil
	v.self.Beat++
	v.version++
}

// Merge merges records of members from a peer and reports whether any was new. It refutes
// records of the node itself with a higher beat.
func (v *View) Merge(now time.Time, members ...Member) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := false
	for _, m := range members {
		news = v.merge(now, m) || news
	}
	return news
}

func (v *View) merge(now time.Time, m Member) bool {
	m.Contact = Contact{}
	if m.Address == v.self.Address {
		if m.supersedes(v.self) || m.Incarnation != v.self.Incarnation && m.Beat >= v.self.Beat {
			v.self.Beat, v.cachedSums = m.Beat+1, nil
		}
		return false
	}
	old := v.members[m.Address]
	if old == nil {
		if m.State == StateGone || len(v.members) >= maxMembers {
			return false
		}
		v.members[m.Address] = &memberRecord{Member: m, stateSince: now}
		v.lastChangeAt, v.cachedSums = now, nil
		v.version++
		return true
	}
	if !m.supersedes(old.Member) {
		return false
	}
	v.cachedSums = nil
	sameRun := m.Incarnation == old.Incarnation
	if sameRun && old.State == StateLeaving && m.State < StateLeaving {
		// An incarnation that is leaving never becomes live again.
		m.State = StateLeaving
	}
	changed := m.State != old.State || m.Reads != old.Reads || m.Isolated != old.Isolated || !sameRun
	if changed || m.Peer != old.Peer || m.Capacity != old.Capacity || m.Zone != old.Zone {
		v.version++
	}
	old.ended = m.State == StateGone && sameRun && (old.ended || old.State == StateLeaving)
	old.Member = m
	if changed {
		old.stateSince, old.spreads = now, 0
		v.lastChangeAt = now
	}
	return changed
}

// MergeFromSender merges the record that a member sent of itself, and reports whether it was new.
func (v *View) MergeFromSender(now time.Time, m Member) bool {
	news := v.Merge(now, m)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.members[m.Address]; k != nil && k.Incarnation == m.Incarnation {
		k.Load = m.Load
		if k.Beat == m.Beat && k.Isolated != m.Isolated {
			// Hosts of an earlier version pass records on without the flag.
			k.Isolated, k.stateSince, k.spreads = m.Isolated, now, 0
			v.version++
			news = true
		}
		if m.Contact.Server.IsValid() {
			k.reached = Reached{Server: m.Contact.Server, At: now.Add(-m.Contact.Age)}
		}
		if m.Contact.Doubtful {
			v.doubtedAt = now
		}
	}
	return news
}

// Suspect records that a member answered neither directly nor through other nodes.
func (v *View) Suspect(now time.Time, address netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.members[address]
	if k == nil || k.State == StateSuspect || k.State == StateGone {
		return
	}
	// A leaving member that does not answer has shut down; it will not refute a suspicion.
	if k.State == StateLeaving {
		k.State, k.ended = StateGone, true
	} else {
		k.State = StateSuspect
	}
	k.stateSince, k.spreads = now, 0
	v.lastChangeAt, v.cachedSums = now, nil
	v.version++
}

// MergeHostList merges the entry hosts of the host list. A host that is not in the view is
// added with a beat below any of its own. The leaving flag of an entry host in the list is not
// merged into known members: the list lags, and the flag could apply to the next run at the same
// address.
func (v *View) MergeHostList(now time.Time, hosts []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range hosts {
		if h.Address == v.self.Address {
			continue
		}
		k := v.members[h.Address]
		if k == nil {
			h.Beat, h.Incarnation = 0, 0
			v.members[h.Address] = &memberRecord{Member: h, stateSince: now}
			v.lastChangeAt, v.cachedSums = now, nil
			v.version++
		}
	}
}

// Tick marks suspects as gone that did not refute the suspicion, and forgets old members and
// leaving servers. It must be called about once a second.
func (v *View) Tick(now time.Time, listed func(netip.AddrPort) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, k := range v.members {
		age := now.Sub(k.stateSince)
		switch {
		case k.State == StateSuspect && age >= v.options.SuspectTimeout:
			k.State = StateGone
			k.stateSince, k.spreads = now, 0
			v.lastChangeAt, v.cachedSums = now, nil
			v.version++
		case k.State == StateLeaving && age >= v.options.ForgetAfter:
			k.State, k.ended = StateGone, true
			k.stateSince, k.spreads = now, 0
			v.cachedSums = nil
			v.version++
		case k.State == StateGone && age >= v.options.ForgetAfter && !listed(address):
			delete(v.members, address)
			v.version++
		}
	}
	for s, m := range v.leaving {
		if now.Sub(m.markedAt) >= v.options.LeavingRetention {
			v.unmark(s)
		}
	}
}

// Members returns a copy of all members except the node itself, in order.
func (v *View) Members() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := make([]Member, 0, len(v.members))
	for _, k := range v.members {
		members = append(members, k.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return members
}

// MayRun returns the members that are not known to have shut down: a member that is gone may only be cut off
// from this node.
func (v *View) MayRun() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := make([]Member, 0, len(v.members))
	for _, k := range v.members {
		if !k.ended {
			members = append(members, k.Member)
		}
	}
	return members
}

// Version returns a number that increases when a member joins, leaves or restarts, or when anything
// in its record changes except the beat and the load. Results derived from the members without
// their beats and loads can be cached while it is unchanged.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// LeavingMembers returns the members that are leaving and not known to have shut down, the most
// recent first.
func (v *View) LeavingMembers() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var leaving []*memberRecord
	for _, k := range v.members {
		if k.State == StateLeaving {
			leaving = append(leaving, k)
		}
	}
	slices.SortFunc(leaving, func(a, b *memberRecord) int {
		if c := b.stateSince.Compare(a.stateSince); c != 0 {
			return c
		}
		return a.Address.Compare(b.Address)
	})
	members := make([]Member, 0, len(leaving))
	for _, k := range leaving {
		members = append(members, k.Member)
	}
	return members
}

// Lookup returns the member with the address, which may be the node itself.
func (v *View) Lookup(address netip.AddrPort) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if address == v.self.Address {
		return v.self, true
	}
	k := v.members[address]
	if k == nil {
		return Member{}, false
	}
	return k.Member, true
}

// UnchangedFor returns the time since a member last joined, left or changed its state.
func (v *View) UnchangedFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastChangeAt)
}

// ResetUnchanged restarts the time that UnchangedFor returns, for example after a pause of the
// process.
func (v *View) ResetUnchanged(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastChangeAt = now
}

// News is the content of one gossip message.
type News struct {
	Members []Member
	Leaving []Leaving
}

// News returns the record of the node itself and at most MaxNews members and MaxNews leaving
// servers. Those that were passed on least often come first, then a few at random, so that views
// that were partitioned converge again. The order among equals is random: otherwise all nodes of
// a starting fleet would pass on the same few members.
func (v *View) News(now time.Time, random *rand.Rand) News {
	v.mu.Lock()
	defer v.mu.Unlock()
	spreads := spreadFactor * bits.Len(uint(len(v.members)+1))
	news := News{Members: []Member{v.self}}
	var fresh, rest []*memberRecord
	for _, k := range v.members {
		rest = append(rest, k)
		if k.spreads < spreads {
			fresh = append(fresh, k)
		}
	}
	random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	slices.SortStableFunc(fresh, func(a, b *memberRecord) int { return a.spreads - b.spreads })
	for _, k := range fresh[:min(len(fresh), MaxNews)] {
		k.spreads++
		news.Members = append(news.Members, k.Member)
	}
	for len(rest) > 0 && len(news.Members) <= MaxNews/4 {
		news.Members = append(news.Members, rest[random.IntN(len(rest))].Member)
	}
	news.Leaving = v.leavingNews(now, spreads, random)
	return news
}
