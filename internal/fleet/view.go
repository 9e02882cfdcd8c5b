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

// Options sets the times of a View. Zero fields take the defaults.
type Options struct {
	// SuspectFor is how long a suspect may refute before it is gone.
	SuspectFor time.Duration
	// ForgetAfter is how long a gone member is remembered.
	ForgetAfter time.Duration
	// LeavingFor is how long a leaving backend server is remembered.
	LeavingFor time.Duration
}

// Defaults of Options.
const (
	DefaultSuspectFor  = 4 * time.Second
	DefaultForgetAfter = 10 * time.Minute
	DefaultLeavingFor  = time.Hour
)

const (
	// spreadFactor times the logarithm of the fleet's size is how often one
	// piece of news is passed on.
	spreadFactor = 3
	// MaxNews bounds the members in one message, and the servers in it.
	MaxNews = 16
	// maxMembers and maxLeaving bound the view.
	maxMembers = 4096
	maxLeaving = 1 << 16
)

// View is one node's view. It is safe for concurrent use.
type View struct {
	options Options

	mu sync.Mutex
	// self is what the node says of itself; its Beat never falls.
	self    Member
	members map[netip.AddrPort]*known
	// leaving has each run that leaves, also those that had the same address one after
	// another.
	leaving map[LeavingServer]*mark
	// leavingAt counts those of each address; none is 0.
	leavingAt map[netip.AddrPort]int
	// undisturbed is when a member last came, went or changed its state.
	undisturbed time.Time
	// version rises with each change of who is a member, in which state or run, and
	// where it is reached; beats and loads leave it as it is.
	version uint64
	// summed has the sums of the view; nil where it changed since they were made.
	summed *Sums
}

type known struct {
	Member
	// since is when the state was entered.
	since time.Time
	// spreads counts how often the state was passed on.
	spreads int
}

// New returns a view that knows only self.
func New(self Member, now time.Time, options Options) *View {
	options.SuspectFor = cmp.Or(options.SuspectFor, DefaultSuspectFor)
	options.ForgetAfter = cmp.Or(options.ForgetAfter, DefaultForgetAfter)
	options.LeavingFor = cmp.Or(options.LeavingFor, DefaultLeavingFor)
	return &View{
		options:     options,
		self:        self,
		members:     make(map[netip.AddrPort]*known),
		leaving:     make(map[LeavingServer]*mark),
		leavingAt:   make(map[netip.AddrPort]int),
		undisturbed: now,
	}
}

// Self returns what the node says of itself.
func (v *View) Self() Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// SetLoad changes the load that the node says it has.
func (v *View) SetLoad(load int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Load = load
}

// SetReads changes whether the publisher answers the node, and reports whether
// that was news.
func (v *View) SetReads(reads bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Reads == reads {
		return false
	}
	v.self.Reads, v.summed = reads, nil
	v.self.Beat++
	v.version++
	return true
}

// Leave makes the node say that it is leaving. It cannot be taken back.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State, v.summed = StateLeaving, nil
	v.self.Beat++
	v.version++
}

// Merge takes in what a peer says of members and reports whether anything was
// new. What is said of the node itself it refutes by a higher beat.
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
	if m.Address == v.self.Address {
		if m.supersedes(v.self) || m.Incarnation != v.self.Incarnation && m.Beat >= v.self.Beat {
			v.self.Beat, v.summed = m.Beat+1, nil
		}
		return false
	}
	old := v.members[m.Address]
	if old == nil {
		if m.State == StateGone || len(v.members) >= maxMembers {
			return false
		}
		v.members[m.Address] = &known{Member: m, since: now}
		v.undisturbed, v.summed = now, nil
		v.version++
		return true
	}
	if !m.supersedes(old.Member) {
		return false
	}
	v.summed = nil
	sameRun := m.Incarnation == old.Incarnation
	if sameRun && old.State == StateLeaving && m.State < StateLeaving {
		// Leaving sticks for the incarnation, whatever is said later.
		m.State = StateLeaving
	}
	changed := m.State != old.State || m.Reads != old.Reads || !sameRun
	if changed || m.Peer != old.Peer || m.Capacity != old.Capacity || m.Zone != old.Zone {
		v.version++
	}
	old.Member = m
	if changed {
		old.since, old.spreads = now, 0
		v.undisturbed = now
	}
	return changed
}

// Heard notes a message straight from a member and reports whether it was new.
func (v *View) Heard(now time.Time, m Member) bool {
	news := v.Merge(now, m)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.members[m.Address]; k != nil && k.Incarnation == m.Incarnation {
		k.Load = m.Load
	}
	return news
}

// Suspect notes that a member did not answer, straight or by others.
func (v *View) Suspect(now time.Time, address netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.members[address]
	if k == nil || k.State == StateSuspect || k.State == StateGone {
		return
	}
	// One that said it was leaving has left; it is not expected back.
	if k.State == StateLeaving {
		k.State = StateGone
	} else {
		k.State = StateSuspect
	}
	k.since, k.spreads = now, 0
	v.undisturbed, v.summed = now, nil
	v.version++
}

// Listed takes in the entry hosts of the host list. A host that the view lacks
// is added as the list has it, with a beat below any of its own. That the list
// calls an entry host leaving is not taken over: the list lags, and the mark
// could hit the next run at the same address.
func (v *View) Listed(now time.Time, hosts []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range hosts {
		if h.Address == v.self.Address {
			continue
		}
		k := v.members[h.Address]
		if k == nil {
			h.Beat, h.Incarnation = 0, 0
			v.members[h.Address] = &known{Member: h, since: now}
			v.undisturbed, v.summed = now, nil
			v.version++
		}
	}
}

// Tick moves suspects that did not refute to gone, forgets what is old, and
// must be called about once a second.
func (v *View) Tick(now time.Time, listed func(netip.AddrPort) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for address, k := range v.members {
		age := now.Sub(k.since)
		switch {
		case k.State == StateSuspect && age >= v.options.SuspectFor:
			k.State = StateGone
			k.since, k.spreads = now, 0
			v.undisturbed, v.summed = now, nil
			v.version++
		case k.State == StateLeaving && age >= v.options.ForgetAfter:
			k.State = StateGone
			k.since, k.spreads = now, 0
			v.summed = nil
			v.version++
		case k.State == StateGone && age >= v.options.ForgetAfter && !listed(address):
			delete(v.members, address)
			v.version++
		}
	}
	for s, m := range v.leaving {
		if now.Sub(m.since) >= v.options.LeavingFor {
			v.unmark(s)
		}
	}
}

// Members returns a copy of all members but the node itself, in order.
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

// Version rises whenever a member comes, goes, starts anew or changes its state, and with
// nothing else: what depends on these alone can be kept while it stays.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// LastToLeave returns the members that are leaving and not known to have left,
// the last first.
func (v *View) LastToLeave() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var leaving []*known
	for _, k := range v.members {
		if k.State == StateLeaving {
			leaving = append(leaving, k)
		}
	}
	slices.SortFunc(leaving, func(a, b *known) int {
		if c := b.since.Compare(a.since); c != 0 {
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

// Of returns the member at address.
func (v *View) Of(address netip.AddrPort) (Member, bool) {
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

// Undisturbed returns how long the view has not changed.
func (v *View) Undisturbed(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.undisturbed)
}

// Disturb restarts the time that Undisturbed tells, as after a pause.
func (v *View) Disturb(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.undisturbed = now
}

// News is what one message passes on.
type News struct {
	Members []Member
	Leaving []Leaving
}

// News returns the node itself and at most MaxNews members and servers: what
// has been passed on least often first, then a few at random so that views
// that were cut off from each other meet again. Among equals the order is random:
// else all nodes of a fleet that starts pass the same few members on.
func (v *View) News(now time.Time, random *rand.Rand) News {
	v.mu.Lock()
	defer v.mu.Unlock()
	spreads := spreadFactor * bits.Len(uint(len(v.members)+1))
	news := News{Members: []Member{v.self}}
	var fresh, rest []*known
	for _, k := range v.members {
		rest = append(rest, k)
		if k.spreads < spreads {
			fresh = append(fresh, k)
		}
	}
	random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	slices.SortStableFunc(fresh, func(a, b *known) int { return a.spreads - b.spreads })
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
