// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"maps"
	"slices"
)

// maxWitnesses is how many other servers are tried to find out whether the links to a server work.
const maxWitnesses = 3

// witnesses returns up to maxWitnesses servers whose links are likely to fail together with those of
// a server: those of its zone, or if there are none, any. Servers of other services come first,
// because a harmful request may crash several of one service at a time.
func (s *serverSet) witnesses(of Server) []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The lists are in the order of preference: in the zone, of other services first, then the same
	// elsewhere.
	var candidates [4][]*server
	for _, service := range slices.Sorted(maps.Keys(s.byService)) {
		for _, k := range s.byService[service].list {
			if k.Instance == of.Instance || k.Address == of.Address || k.Closed() {
				continue
			}
			preference := 0
			if service == of.Service {
				preference++
			}
			if k.Zone != of.Zone {
				preference += 2
			}
			candidates[preference] = append(candidates[preference], k)
		}
	}
	near := candidates[:2]
	if len(near[0])+len(near[1]) == 0 {
		near = candidates[2:]
	}
	var chosen []Server
	for _, list := range near {
		for len(list) > 0 && len(chosen) < maxWitnesses {
			i := s.random.IntN(len(list))
			chosen = append(chosen, *list[i].Server)
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
		}
	}
	return chosen
}

// reachesNear reports whether this host reaches another server that its links to s are likely to fail
// together with. It also reports true if there is no other server.
func (c *Core) reachesNear(ctx context.Context, s Server) bool {
	witnesses := c.servers.witnesses(s)
	for _, w := range witnesses {
		if c.options.Servers.Probe(ctx, w.Address) == nil {
			return true
		}
	}
	return len(witnesses) == 0
}
