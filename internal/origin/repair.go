// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// enoughCopies is how many keepers need to have the versions of a group for a host that is none of
	// them to leave repairs to them.
	enoughCopies = 2
)

// copied is what a host knows of the copies at others.
type copied struct {
	// hosts are those of the last look.
	hosts *Hosts
	// handedOver reports whether this host has begun to leave and has sent on all that it held.
	handedOver bool
	// hadPeers reports whether there were other hosts at any look.
	hadPeers bool
	// at has the hosts that are taken to have all versions of a group that this host has.
	at [keeperGroups][]hostID
	// kept reports whether this host was among the keepers at the last look.
	kept [keeperGroups]bool
}

func (c *copied) set(of group, keepers []Host) {
	c.at[of] = nil
	for _, k := range keepers {
		c.at[of] = append(c.at[of], k.id())
	}
}

func (c *copied) has(of group, h Host) bool {
	return slices.Contains(c.at[of], h.id())
}

// lookAgain makes the host look at the copies again at a time, if it is not zero. The mutex must be held.
func (g *Group) lookAgain(at time.Time) {
	g.lookAt = earliest(g.lookAt, at)
}

// Sync sends the versions of recent streams to keepers that may lack them because hosts have joined, left
// or started anew.
func (g *Group) Sync() {
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts, now := g.options.Hosts(), time.Now()
	due := !g.lookAt.IsZero() && !now.Before(g.lookAt)
	if hosts == g.copied.hosts && !due {
		return
	}
	g.copied.hosts, g.lookAt = hosts, time.Time{}
	g.copied.hadPeers = g.copied.hadPeers || len(hosts.all) > 1
	for id, until := range g.avoided {
		if now.Before(until) {
			g.lookAgain(until)
			continue
		}
		delete(g.avoided, id)
	}
	g.lookAgain(g.sightings.update(hosts, now))
	var sent sendCount
	for of := range group(keeperGroups) {
		if len(g.memory.groups[of]) > 0 {
			g.syncGroup(of, hosts, now, &sent)
		}
	}
	g.copied.handedOver = hosts.selfLeaves
	if sent.records > 0 {
		message := "sending the versions of streams to hosts that lack them"
		if hosts.selfLeaves {
			message = "handing on the versions of streams"
		}
		g.options.Log.WithFields(logrus.Fields{"streams": sent.records, "peers": len(sent.hosts)}).Info(message)
	}
}

// sendCount counts what is sent.
type sendCount struct {
	records int
	hosts   map[netip.AddrPort]struct{}
}

// syncGroup sends the recent versions of a group to keepers that lack them. Among those that have them the
// keepers do, past ones too, and those that begin to leave; others only if too few keepers are left. The mutex
// must be held.
func (g *Group) syncGroup(of group, hosts *Hosts, now time.Time, sent *sendCount) {
	keepers := g.keepers(of, now)
	keeps := hosts.keeps(of)
	var lacking []Host
	have := 0
	for _, k := range keepers {
		if g.copied.has(of, k) {
			have++
			continue
		}
		lacking = append(lacking, k)
	}
	handsOver := hosts.selfLeaves && !g.copied.handedOver
	obliged := keeps || g.copied.kept[of] || handsOver || have < min(enoughCopies, len(keepers))
	g.copied.kept[of] = keeps
	if !obliged {
		g.copied.at[of] = slices.DeleteFunc(g.copied.at[of], func(id hostID) bool {
			return !slices.ContainsFunc(keepers, func(k Host) bool { return k.id() == id })
		})
		return
	}
	g.sendRecent(of, lacking, now, sent)
	g.copied.set(of, keepers)
}

// sendRecent sends the recent versions of a group to hosts. The mutex must be held.
func (g *Group) sendRecent(of group, to []Host, now time.Time, sent *sendCount) {
	if len(to) == 0 {
		return
	}
	why := kindRepaired
	if g.options.Hosts().selfLeaves {
		why = kindHandedOn
	}
	records := g.memory.recent(of, now)
	if len(records) == 0 {
		return
	}
	if sent.hosts == nil {
		sent.hosts = make(map[netip.AddrPort]struct{})
	}
	for _, h := range to {
		sent.hosts[h.Address] = struct{}{}
		sent.records += len(records)
		for _, r := range records {
			g.enqueue(h, why, r, nil)
		}
	}
}

// replace avoids a host that did not take records, and sends the versions of their groups to those that
// rank next. The mutex must be held.
func (g *Group) replace(host Host, records []Record) {
	now := time.Now()
	g.avoided[host.id()] = now.Add(avoidPeriod)
	g.lookAgain(now.Add(avoidPeriod))
	var groups [keeperGroups]bool
	for _, r := range records {
		groups[r.Stream.group()] = true
	}
	var sent sendCount
	for of, lost := range groups {
		if !lost {
			continue
		}
		of := group(of)
		keepers := g.keepers(of, now)
		lacking := slices.DeleteFunc(slices.Clone(keepers), func(k Host) bool { return g.copied.has(of, k) })
		g.sendRecent(of, lacking, now, &sent)
		g.copied.set(of, keepers)
	}
}
