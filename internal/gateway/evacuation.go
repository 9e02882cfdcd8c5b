// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/relay"
)

// Directive is the value that operators publish under one key: a configuration, or the name of
// an availability zone whose backend servers must get no requests. Exactly one of the two is
// set.
type Directive struct {
	Catalog       *relay.Catalog
	EvacuatedZone string
}

// evacuation tracks the evacuated availability zones. Their servers get no new requests as
// soon as the host learns of the evacuation, so that requests in flight have all of the time
// that the operators allow.
type evacuation struct {
	// zones are the evacuated zones as of the last update.
	zones map[string]bool
	// keptUntil is until when zones are kept although their directives are missing, because the
	// publisher has lost writes.
	keptUntil atomic.Pointer[time.Time]
}

// evacuationGrace is how long an evacuation is kept whose directive the publisher has lost. It is
// written again within about 2 s.
const evacuationGrace = 4 * time.Second

// keepZones keeps the evacuated zones for evacuationGrace.
func (e *evacuation) keepZones(now time.Time) {
	until := now.Add(evacuationGrace)
	e.keptUntil.Store(&until)
}

// graceEnded reports, once, that the time is over for which zones were kept.
func (e *evacuation) graceEnded(now time.Time) bool {
	until := e.keptUntil.Load()
	return until != nil && !now.Before(*until) && e.keptUntil.CompareAndSwap(until, nil)
}

// setZones sets the zones named by directives and reports whether they changed.
func (e *evacuation) setZones(now time.Time, directives map[string]Directive, log logrus.FieldLogger) bool {
	zones := make(map[string]bool)
	if until := e.keptUntil.Load(); until != nil && now.Before(*until) {
		maps.Copy(zones, e.zones)
	}
	for _, d := range directives {
		if d.EvacuatedZone != "" {
			zones[d.EvacuatedZone] = true
		}
	}
	if maps.Equal(zones, e.zones) {
		return false
	}
	log.WithFields(logrus.Fields{"zones": slices.Sorted(maps.Keys(zones)), "before": slices.Sorted(maps.Keys(e.zones))}).Info("evacuated availability zones")
	e.zones = zones
	return true
}
