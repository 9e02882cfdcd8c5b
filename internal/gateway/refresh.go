// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// change is the addition, change or removal of one backend server.
type change = listed.Change[relay.Server]

// refresh applies the published values to the core, the stage pools and the engines. Its cost
// grows with the number of changes, except if the configuration changes the services, or an
// availability zone is evacuated.
func (n *Node) refresh() {
	// Watchers, peers and maintain call refresh concurrently; values read by an earlier call
	// must not overwrite those of a later one.
	n.refreshing.Lock()
	defer n.refreshing.Unlock()
	n.noteEras(time.Now())
	if directive, ok := n.directives.Get(n.options.ConfigurationKey); ok {
		n.applyCatalog(directive.Catalog)
	}
	serviceSpecs := serviceSpecsOf(n.core.Catalog())
	reshaped := !reflect.DeepEqual(serviceSpecs, n.serviceSpecs)
	n.serviceSpecs = serviceSpecs
	if n.evacuation.setZones(time.Now(), n.directives.Values(), n.log) || reshaped {
		n.serverTable.markAllDirty()
	}
	dirty, removed, lapsed := n.serverTable.update(time.Now(), n.changedServers(), n.log)
	changes := n.changesOf(dirty, removed)
	n.links.apply(changes)
	n.recordVersions(changes)
	n.core.ChangeServers(changes)
	n.core.CheckLapsed(lapsed)
	if reshaped {
		n.stages.Configure(serviceSpecs.pools, n.stageServers())
		n.engines.Configure(n.engineChanges(n.allServers()))
		return
	}
	n.stages.Change(n.stageChanges(changes))
	n.engines.Change(n.engineChanges(changes))
}

// noteEras applies that the publisher is in a new era. It has lost writes that its writers write
// again, so that what is missing from it counts as lapsed for a while, not as removed.
func (n *Node) noteEras(now time.Time) {
	if n.listedEra.advance(n.listed.Summary().Era) {
		n.serverTable.publisherRecovered(now)
	}
	if n.directivesEra.advance(n.directives.Summary().Era) {
		n.evacuation.keepZones(now)
	}
}

// knownEra is the latest known era of a space.
type knownEra struct {
	era     uint64
	isKnown bool
}

// advance sets the era and reports whether an earlier one was known before.
func (k *knownEra) advance(era uint64) bool {
	hasAdvanced := k.isKnown && era > k.era
	if era > 0 {
		k.era, k.isKnown = era, true
	}
	return hasAdvanced
}

func (n *Node) applyCatalog(catalog *relay.Catalog) {
	if old := n.core.Catalog(); old == nil || old.Version < catalog.Version {
		position := n.directives.Position(n.options.ConfigurationKey)
		n.log.WithField("version", catalog.Version).
			WithField("era", position.Era).
			WithField("revision", position.Revision).
			WithField("bytes", sizeOf(n.directives.Entries(n.options.ConfigurationKey))).
			WithField("load_aware", n.loadAware(catalog)).
			WithField("problems", len(catalog.Problems)).
			Info("configuration in force")
		n.reportProblems(catalog)
		catalog.LoadAware = n.loadAware(catalog)
	}
	n.core.SetCatalog(catalog)
}

// maxLoggedProblems limits the log lines about one configuration.
const maxLoggedProblems = 20

// reportProblems logs and counts the parts of a configuration that can't be used. The others are in force.
func (n *Node) reportProblems(catalog *relay.Catalog) {
	n.options.Scope.Gauge("configuration_problems").Update(float64(len(catalog.Problems)))
	for _, p := range catalog.Problems[:min(len(catalog.Problems), maxLoggedProblems)] {
		n.log.WithFields(logrus.Fields{"version": catalog.Version, "part": p.Part, "reason": p.Reason}).Warn("a part of the configuration can't be used")
	}
}

// loadAware returns whether decisions under a configuration use the load model.
func (n *Node) loadAware(catalog *relay.Catalog) bool {
	return n.settings.LoadAware.Enabled(catalog.HasFewSlotEngines())
}

func sizeOf(entries []published.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

// changedServers returns the published values of the servers whose entries changed.
func (n *Node) changedServers() []publishedServer {
	current := n.listed.TakeChanged()
	changed := make([]publishedServer, 0, len(current))
	for _, c := range current {
		changed = append(changed, publishedServer{key: c.Key, server: c.Value, position: c.Position})
	}
	return changed
}

// changesOf returns the differences between the servers and what was last applied of them.
func (n *Node) changesOf(dirty, removed []*serverRecord) []change {
	var changes []change
	for _, k := range removed {
		if k.applied != nil {
			changes = append(changes, change{Service: k.applied.Service, Old: k.applied})
		}
	}
	for _, k := range dirty {
		now := n.effectiveServer(k)
		old := k.applied
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
		k.applied = &now
	}
	return changes
}

// effectiveServer returns a published server with what else is known of it. A server known to
// be leaving stays so whatever its entry says, which may be older than an answer of the
// server, or rewritten by a writer that knows less, and whichever instance the entry names.
func (n *Node) effectiveServer(k *serverRecord) relay.Server {
	s := *k.published
	s.Region = n.settings.Regions[s.Zone]
	s.Evacuated = n.evacuation.zones[s.Zone]
	if s.Leaving {
		n.notices.RecordLeaving(notice.Server{Instance: s.Instance, Address: s.Address}, notice.SourceList)
	} else {
		s.Leaving = n.notices.Leaving(s.Instance) || n.hasLeftAs(k.continues, s.StartedAt)
	}
	if n.serviceSpecs.coldRates[s.Service] > 0 {
		s.ColdUntil = k.coldUntil
	}
	return s
}

// hasLeftAs reports whether a run that started at a given time may be the one that announced under
// the name of another that it is leaving. The name may be empty. The zero time is an unknown one.
func (n *Node) hasLeftAs(other string, startedAt time.Time) bool {
	since, leaves := n.notices.LeavingFor(other)
	return leaves && !startedAt.After(time.Now().Add(n.settings.ClockOffset-since))
}

// allServers returns all servers in use as additions.
func (n *Node) allServers() []change {
	var changes []change
	for _, k := range n.serverTable.appliedServers() {
		changes = append(changes, change{Service: k.applied.Service, New: k.applied})
	}
	return changes
}

// serviceSpecs are the parts of a configuration's services that matter for their servers.
type serviceSpecs struct {
	pools     map[string]stageplan.Spec
	engines   map[string]relay.Engine
	coldRates map[string]float64
	loadAware bool
}

func serviceSpecsOf(catalog *relay.Catalog) serviceSpecs {
	k := serviceSpecs{
		pools:     make(map[string]stageplan.Spec),
		engines:   make(map[string]relay.Engine),
		coldRates: make(map[string]float64),
	}
	if catalog == nil {
		return k
	}
	k.loadAware = catalog.LoadAware
	for name, s := range catalog.Services() {
		if s.ColdRate > 0 {
			k.coldRates[name] = s.ColdRate
		}
		if s.Engine != nil {
			k.engines[name] = *s.Engine
		}
		if s.Batch != nil {
			k.pools[name] = stageplan.Spec{
				Service:        name,
				Size:           s.Batch.Size,
				Slots:          s.Batch.Slots,
				CallTime:       s.Batch.CallTime,
				PieceTime:      s.Batch.PieceTime,
				ResultCapacity: s.Batch.ResultCapacity,
				ResultTTL:      s.Batch.ResultTTL,
				LoadAware:      catalog.LoadAware,
			}
		}
	}
	return k
}

// stageServers returns the servers of all stage pools by service.
func (n *Node) stageServers() map[string][]stageplan.Server {
	byService := make(map[string][]stageplan.Server)
	for _, c := range n.stageChanges(n.allServers()) {
		byService[c.Service] = append(byService[c.Service], *c.New)
	}
	return byService
}

// stageChanges returns the changes that concern stage pools.
func (n *Node) stageChanges(changes []change) []listed.Change[stageplan.Server] {
	var stages []listed.Change[stageplan.Server]
	for _, c := range changes {
		if _, ok := n.serviceSpecs.pools[c.Service]; ok {
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
		Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(), Evacuated: s.Evacuated,
	}
}

// engineChanges returns the changes that concern engines.
func (n *Node) engineChanges(changes []change) []listed.Change[placing.Engine] {
	var engines []listed.Change[placing.Engine]
	for _, c := range changes {
		if _, ok := n.serviceSpecs.engines[c.Service]; ok {
			engines = append(engines, listed.Change[placing.Engine]{Service: c.Service, Old: n.engineOf(c.Old), New: n.engineOf(c.New)})
		}
	}
	return engines
}

func (n *Node) engineOf(s *relay.Server) *placing.Engine {
	if s == nil {
		return nil
	}
	kind := n.serviceSpecs.engines[s.Service]
	return &placing.Engine{
		Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(),
		TokenBytes: kind.TokenBytes, Link: kind.Link,
		ColdUntil: s.ColdUntil, ColdRateLimit: n.coldLimit(n.serviceSpecs.coldRates[s.Service]),
		LoadAware: n.serviceSpecs.loadAware, Slots: kind.Slots, Tokens: kind.Tokens, EventTokens: kind.EventTokens,
	}
}

// coldLimit returns how many requests of all hosts together may reach a cold server in any
// second, given the rate that it can handle; 0 means no limit.
func (n *Node) coldLimit(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*n.settings.ColdFactor + n.settings.ColdSlack
}
