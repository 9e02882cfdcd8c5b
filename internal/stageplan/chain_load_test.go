// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"
)

const (
	chainStep = 5 * time.Millisecond
	// ways is what a message takes between two hosts and back.
	ways = 8 * time.Millisecond
	// clumpSpread is within how long requests come that come together.
	clumpSpread = 25 * time.Millisecond
	// comeBackWithin is within how long callers find hosts again after a loss.
	comeBackWithin = 200 * time.Millisecond
	// engineDelay is how much longer engines are taken to need.
	engineDelay = 20 * time.Millisecond
	// stageTurn is what a stage is taken to need beside its call.
	stageTurn = 30 * time.Millisecond
	// worthWindow is the span of which the worst ones are told.
	worthWindow = 2 * time.Second
)

// chainStage is one stage of a kind of request.
type chainStage struct {
	pool  string
	after []int
	// share of the requests have the stage, of about pieces pieces.
	share, pieces float64
	bytes         int64
	// effort is how long a piece takes of its pool's usual time.
	effort float64
}

// kind is one kind of request.
type kind struct {
	name             string
	perSecond        float64
	objective, limit time.Duration
	worth, late      float64
	priority         int
	read             time.Duration
	stages           []chainStage
}

// poolLoad is one pool and its servers.
type poolLoad struct {
	spec    stageplan.Spec
	servers int
}

// burst is a time in which more requests of a kind come; an empty kind is any.
type burst struct {
	kind     string
	at, ends time.Duration
	times    float64
}

// outage is a time in which servers of a pool are gone, or slow.
type outage struct {
	pool     string
	at, ends time.Duration
	servers  int
	// slowness is how many times as long calls take; 0 is that the servers are gone.
	slowness float64
}

// loss is a time without hosts: what they held is gone, but for results at servers.
type loss struct{ at, ends time.Duration }

// chainLoad is a load over several pools.
type chainLoad struct {
	pools   []poolLoad
	kinds   []kind
	bursts  []burst
	outages []outage
	losses  []loss
	lasts   time.Duration
}
