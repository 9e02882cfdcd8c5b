// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/relay"
)

// Directive is what operators publish under one key: a configuration, or that the
// backend servers of an availability zone are to get nothing. One of the two is set.
type Directive struct {
	Catalog   *relay.Catalog
	Evacuated string
}

// evacuation marks the servers of evacuated availability zones. They get nothing
// from the moment at which the host hears of it: what is on its way then has the
// whole of the time that the operators allow.
type evacuation struct {
	// zones are those in force when it was last looked.
	zones []string
}

// mark sets Evacuated on the servers of the zones that directives name.
func (e *evacuation) mark(directives map[string]Directive, servers []relay.Server, log logrus.FieldLogger) {
	named := make(map[string]bool)
	for _, d := range directives {
		if d.Evacuated != "" {
			named[d.Evacuated] = true
		}
	}
	for i := range servers {
		servers[i].Evacuated = named[servers[i].Zone]
	}
	zones := slices.Sorted(maps.Keys(named))
	if !slices.Equal(zones, e.zones) {
		log.WithFields(logrus.Fields{"zones": zones, "before": e.zones}).Info("evacuated availability zones")
	}
	e.zones = zones
}
