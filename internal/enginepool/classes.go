// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import "time"

const (
	// classesInterval is the shortest time between two computations of the gauge of engines by
	// speed.
	classesInterval = time.Second
	// slowBelow and fastAbove are the bounds of the class of medium speed, relative to the median
	// engine. They lie between the speeds 0.6, 1 and 1.6 of the engines in use.
	slowBelow = 0.8
	fastAbove = 1.25
)

// The classes of engines by speed, as tags of the gauge.
const (
	classSlow   = "slow"
	classMedium = "medium"
	classFast   = "fast"
)

// UpdateMetrics updates the gauge by_speed: for each speed class, the number of engines of
// known speed in the shards that this host owns, so that the sum over all hosts counts each engine
// once. Calls within a second of the last computation do nothing. It is called periodically and not
// for requests, since it examines all engines.
func (g *Group) UpdateMetrics(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.classesAt) < classesInterval {
		return
	}
	g.classesAt = now
	counts := map[string]int{classSlow: 0, classMedium: 0, classFast: 0}
	for s, scheduler := range g.schedulers {
		speeds := scheduler.Speeds()
		g.hasSpeeds = g.hasSpeeds || len(speeds) > 0
		if len(speeds) == 0 || len(g.options.Owners.PeersFor(s.String(), 1)) > 0 {
			continue
		}
		for _, speed := range speeds {
			counts[speedClass(speed)]++
		}
	}
	if !g.hasSpeeds {
		// The gauge does not exist where no engine's speed is measured.
		return
	}
	for class, count := range counts {
		g.options.Scope.Tagged(map[string]string{"speed": class}).Gauge("by_speed").Update(float64(count))
	}
}

func speedClass(speed float64) string {
	switch {
	case speed < slowBelow:
		return classSlow
	case speed > fastAbove:
		return classFast
	default:
		return classMedium
	}
}
