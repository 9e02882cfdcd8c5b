// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/suspect"
)

const (
	// dumpKeys limits the keys of each published space in a dump.
	dumpKeys = 200
	// dumpSuspects limits the suspected requests in a dump, and dumpNotices the backend
	// servers that are leaving, resting or limited.
	dumpSuspects = 50
	dumpNotices  = 200
)

// Dump is the state of a node, for diagnosis.
type Dump struct {
	Node          string                     `json:"node"`
	Zone          string                     `json:"zone"`
	Up            string                     `json:"up"`
	Ready         bool                       `json:"ready"`
	Leaving       bool                       `json:"leaving"`
	InFlight      int64                      `json:"in_flight"`
	Version       uint64                     `json:"configuration_version"`
	Configuration published.State            `json:"configuration"`
	Listed        published.State            `json:"listed"`
	Members       []fleet.Member             `json:"members"`
	Servers       []relay.ServerState        `json:"servers"`
	Pools         map[string]stagepool.State `json:"pools"`
	Suspects      []suspect.Entry            `json:"suspects,omitempty"`
	Notices       []notice.Entry             `json:"notices,omitempty"`
	Limits        []ratelimit.Entry          `json:"limits,omitempty"`
	Connections   int64                      `json:"connections_opened"`
}

// Dump returns the current state of the node.
func (n *Node) Dump() Dump {
	d := Dump{
		Node:          n.settings.Callers.String(),
		Zone:          n.settings.Zone,
		Up:            time.Since(n.start).Round(time.Millisecond).String(),
		Ready:         n.Ready(),
		Leaving:       n.Leaving(),
		InFlight:      n.InFlight(),
		Configuration: n.directives.State(dumpKeys),
		Listed:        n.listed.State(dumpKeys),
		Members:       n.view.Members(),
		Servers:       n.core.Servers(),
		Pools:         n.stages.State(),
		Suspects:      n.suspects.State(dumpSuspects),
		Notices:       n.notices.State(dumpNotices),
		Limits:        n.limits.State(dumpNotices),
		Connections:   n.backends.Opened(),
	}
	if catalog := n.core.Catalog(); catalog != nil {
		d.Version = catalog.Version
	}
	return d
}

// Reload applies the settings that may change at run time: the retry limits. Changed
// addresses, zones and seeds need a restart.
func (n *Node) Reload(s settings.Gateway) {
	n.core.SetRetries(s.RetryShare, s.RetryReserve, s.RetryWindow)
}
