// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"reflect"
	"time"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// change is one backend server that was added, changed or removed.
type change = listed.Change[relay.Server]

// refresh brings the core, the stage pools and the engines in line with what is published.
// What it does grows with what changed, but where a configuration changes what is said of
// the services, or an availability zone is evacuated.
func (n *Node) refresh() {
	// Watchers, peers and the upkeep all call this; what one has read must not
	// be set after what a later one has.
	n.refreshing.Lock()
	defer n.refreshing.Unlock()
	if directive, ok := n.directives.Get(n.options.ConfigurationKey); ok {
		n.bringIntoForce(directive.Catalog)
	}
	kinds := kindsOf(n.core.Catalog())
	reshaped := !reflect.DeepEqual(kinds, n.kinds)
	n.kinds = kinds
	if n.evacuation.mark(n.directives.Values(), n.log) || reshaped {
		n.members.touchAll()
	}
	touched, gone := n.members.take(time.Now(), n.changedServers(), n.log)
	changes := n.changesOf(touched, gone)
	n.core.ChangeServers(changes)
	if reshaped {
		n.stages.Configure(kinds.pools, n.stageServers())
		n.engines.Configure(n.engineChanges(n.allServers()))
		return
	}
	n.stages.Change(n.stageChanges(changes))
	n.engines.Change(n.engineChanges(changes))
}

func (n *Node) bringIntoForce(catalog *relay.Catalog) {
	if old := n.core.Catalog(); old == nil || old.Version < catalog.Version {
		n.log.WithField("version", catalog.Version).
			WithField("revision", n.directives.Revision(n.options.ConfigurationKey)).
			WithField("bytes", sizeOf(n.directives.Entries(n.options.ConfigurationKey))).
			Info("configuration in force")
	}
	n.core.SetCatalog(catalog)
}

func sizeOf(entries []published.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

// changedServers returns what is published of the servers whose entries changed.
func (n *Node) changedServers() []publishedServer {
	current := n.listed.TakeChanged()
	changed := make([]publishedServer, 0, len(current))
	for _, c := range current {
		changed = append(changed, publishedServer{key: c.Key, server: c.Value, revision: c.Revision})
	}
	return changed
}

// changesOf returns how the servers to use differ from what was handed on of them.
func (n *Node) changesOf(touched, gone []*member) []change {
	var changes []change
	for _, k := range gone {
		if k.used != nil {
			changes = append(changes, change{Service: k.used.Service, Old: k.used})
		}
	}
	for _, k := range touched {
		now := n.use(k)
		old := k.used
		switch {
		case old == nil:
			changes = append(changes, change{Service: now.Service, New: &now})
		case *old == now:
			continue
		case old.Service != now.Service:
			changes = append(changes, change{Service: old.Service, Old: old}, change{Service: now.Service, New: &now})
		default:
			changes = append(changes, change{Service: now.Service, Old: old, New: &now})
		}
		k.used = &now
	}
	return changes
}

// use returns a published server with what else is known of it: one that is known to leave
// does, whatever its entry says now, which may be older than an answer, or be written again
// by who knows less.
func (n *Node) use(k *member) relay.Server {
	s := *k.listed
	s.Region = n.settings.Regions[s.Zone]
	s.Evacuated = n.evacuation.named[s.Zone]
	if s.Leaving {
		n.notices.Left(notice.Server{Instance: s.Instance, Address: s.Address}, notice.SourceList)
	} else {
		s.Leaving = n.notices.Leaving(s.Instance)
	}
	if n.kinds.coldRates[s.Service] > 0 {
		s.ColdUntil = k.coldUntil
	}
	return s
}

// allServers returns all servers in use as if each had been added.
func (n *Node) allServers() []change {
	var changes []change
	for _, k := range n.members.all() {
		changes = append(changes, change{Service: k.used.Service, New: k.used})
	}
	return changes
}

// kinds is what a configuration says of the services that matters for their servers.
type kinds struct {
	pools     map[string]stageplan.Spec
	engines   map[string]relay.Engine
	coldRates map[string]float64
}

func kindsOf(catalog *relay.Catalog) kinds {
	k := kinds{
		pools:     make(map[string]stageplan.Spec),
		engines:   make(map[string]relay.Engine),
		coldRates: make(map[string]float64),
	}
	if catalog == nil {
		return k
	}
	for name, s := range catalog.Services() {
		if s.ColdRate > 0 {
			k.coldRates[name] = s.ColdRate
		}
		if s.Engine != nil {
			k.engines[name] = *s.Engine
		}
		if s.Batch != nil {
			k.pools[name] = stageplan.Spec{
				Service:   name,
				Size:      s.Batch.Size,
				Slots:     s.Batch.Slots,
				CallTime:  s.Batch.CallTime,
				PieceTime: s.Batch.PieceTime,
				Room:      s.Batch.Room,
				Hold:      s.Batch.Hold,
			}
		}
	}
	return k
}

// stageServers returns the servers of all stage pools.
func (n *Node) stageServers() map[string][]stageplan.Server {
	byService := make(map[string][]stageplan.Server)
	for _, c := range n.stageChanges(n.allServers()) {
		byService[c.Service] = append(byService[c.Service], *c.New)
	}
	return byService
}

// stageChanges returns those changes that concern stage pools.
func (n *Node) stageChanges(changes []change) []listed.Change[stageplan.Server] {
	var stages []listed.Change[stageplan.Server]
	for _, c := range changes {
		if _, ok := n.kinds.pools[c.Service]; ok {
			stages = append(stages, listed.Change[stageplan.Server]{Service: c.Service, Old: stageServer(c.Old), New: stageServer(c.New)})
		}
	}
	return stages
}

func stageServer(s *relay.Server) *stageplan.Server {
	if s == nil {
		return nil
	}
	return &stageplan.Server{
		Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(), Unreachable: s.Evacuated,
	}
}

// engineChanges returns those changes that concern engines.
func (n *Node) engineChanges(changes []change) []listed.Change[placing.Engine] {
	var engines []listed.Change[placing.Engine]
	for _, c := range changes {
		if _, ok := n.kinds.engines[c.Service]; ok {
			engines = append(engines, listed.Change[placing.Engine]{Service: c.Service, Old: n.engine(c.Old), New: n.engine(c.New)})
		}
	}
	return engines
}

func (n *Node) engine(s *relay.Server) *placing.Engine {
	if s == nil {
		return nil
	}
	kind := n.kinds.engines[s.Service]
	return &placing.Engine{
		Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(),
		TokenBytes: kind.TokenBytes, Link: kind.Link,
		ColdUntil: s.ColdUntil, ColdMost: n.coldMost(n.kinds.coldRates[s.Service]),
	}
}

// coldMost is how many requests of all hosts may reach a cold server in any second
// that bears so many; 0 is not bounded.
func (n *Node) coldMost(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*n.settings.ColdOver + n.settings.ColdSlack
}
