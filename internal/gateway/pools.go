// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// poolsOf returns the stage pools of a configuration and their servers.
func poolsOf(catalog *relay.Catalog, servers []relay.Server) (map[string]stageplan.Spec, map[string][]stageplan.Server) {
	specs := make(map[string]stageplan.Spec)
	for name, s := range catalog.Services() {
		if s.Batch == nil {
			continue
		}
		specs[name] = stageplan.Spec{
			Service:   name,
			Size:      s.Batch.Size,
			Slots:     s.Batch.Slots,
			CallTime:  s.Batch.CallTime,
			PieceTime: s.Batch.PieceTime,
			Room:      s.Batch.Room,
			Hold:      s.Batch.Hold,
		}
	}
	byService := make(map[string][]stageplan.Server)
	for _, s := range servers {
		if _, ok := specs[s.Service]; ok {
			byService[s.Service] = append(byService[s.Service], stageplan.Server{
				Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(), Unreachable: s.Evacuated,
			})
		}
	}
	return specs, byService
}

// keepBounded forgets that servers are cold which bear as much then as ever.
func keepBounded(catalog *relay.Catalog, servers []relay.Server) {
	for i, s := range servers {
		if service := catalog.Service(s.Service); service == nil || service.ColdRate == 0 {
			servers[i].ColdUntil = time.Time{}
		}
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

// enginesOf returns the engines of a configuration by service.
func enginesOf(catalog *relay.Catalog, servers []relay.Server, coldMost func(rate float64) float64) map[string][]placing.Engine {
	byService := make(map[string][]placing.Engine)
	for _, s := range servers {
		if service := catalog.Service(s.Service); service != nil && service.Engine != nil {
			byService[s.Service] = append(byService[s.Service], placing.Engine{
				Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region, Leaving: s.Closed(),
				TokenBytes: service.Engine.TokenBytes, Link: service.Engine.Link,
				ColdUntil: s.ColdUntil, ColdMost: coldMost(service.ColdRate),
			})
		}
	}
	return byService
}
