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
	// named are the zones in force when it was last looked.
	named map[string]bool
}

// mark takes in the zones that directives name, and reports whether they are others than
// before.
func (e *evacuation) mark(directives map[string]Directive, log logrus.FieldLogger) bool {
	named := make(map[string]bool)
	for _, d := range directives {
		if d.Evacuated != "" {
			named[d.Evacuated] = true
		}
	}
	if maps.Equal(named, e.named) {
		return false
	}
	log.WithFields(logrus.Fields{"zones": slices.Sorted(maps.Keys(named)), "before": slices.Sorted(maps.Keys(e.named))}).Info("evacuated availability zones")
	e.named = named
	return true
}
