// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "slices"

// Regions are the regions in which requests may be served; an empty list allows all.
type Regions []string

// Allow reports whether a server or host in a region may serve.
func (h Regions) Allow(region string) bool {
	return len(h) == 0 || slices.Contains(h, region)
}

// intersect returns the regions that both allow, and whether there are any.
func (h Regions) intersect(other Regions) (Regions, bool) {
	if len(h) == 0 {
		return other, true
	}
	if len(other) == 0 {
		return h, true
	}
	both := slices.DeleteFunc(slices.Clone(h), func(region string) bool { return !other.Allow(region) })
	return both, len(both) > 0
}

// CommonRegions returns the regions common to all routes of a host name that restrict
// their regions. It returns nil if no route does, or if they have no region in common.
func (c *Catalog) CommonRegions(host string) Regions {
	var common Regions
	for _, r := range c.routes[host] {
		both, shared := common.intersect(r.AllowedRegions)
		if !shared {
			return nil
		}
		common = both
	}
	return common
}

// RestrictsRegions reports whether any route of a host name restricts its regions.
func (c *Catalog) RestrictsRegions(host string) bool {
	return slices.ContainsFunc(c.routes[host], func(r *Route) bool { return len(r.AllowedRegions) > 0 })
}
