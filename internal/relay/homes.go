// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "slices"

// Homes are the regions in which requests may be served; none is anywhere.
type Homes []string

// Allow reports whether a server or host of a region may serve.
func (h Homes) Allow(region string) bool {
	return len(h) == 0 || slices.Contains(h, region)
}

// within returns the regions that both allow, and whether there are any.
func (h Homes) within(other Homes) (Homes, bool) {
	if len(h) == 0 {
		return other, true
	}
	if len(other) == 0 {
		return h, true
	}
	both := slices.DeleteFunc(slices.Clone(h), func(region string) bool { return !other.Allow(region) })
	return both, len(both) > 0
}

// HomesOf returns the regions that are homes of all routes of a host name which have
// any; none where no route has, or no region is one of all.
func (c *Catalog) HomesOf(host string) Homes {
	var common Homes
	for _, r := range c.routes[host] {
		both, shared := common.within(r.Homes)
		if !shared {
			return nil
		}
		common = both
	}
	return common
}

// Bound reports whether any route of a host name has homes.
func (c *Catalog) Bound(host string) bool {
	return slices.ContainsFunc(c.routes[host], func(r *Route) bool { return len(r.Homes) > 0 })
}
