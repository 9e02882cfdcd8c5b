// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
)

func TestRegionsOfHostAreCommonToItsRoutes(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes []relay.Regions
		bound  bool
		want   relay.Regions
	}{
		{"no homes", []relay.Regions{nil, nil}, false, nil},
		{"one of two routes", []relay.Regions{nil, {"a"}}, true, relay.Regions{"a"}},
		{"in common", []relay.Regions{{"a", "b"}, {"b", "c"}}, true, relay.Regions{"b"}},
		{"nothing in common", []relay.Regions{{"a"}, {"b"}}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var routes []relay.Route
			for _, regions := range c.routes {
				routes = append(routes, relay.Route{Host: "h", Prefix: "/", AllowedRegions: regions})
			}
			catalog := relay.NewCatalog(1, routes, nil, nil, relay.Limits{})
			assert.Equal(t, catalog.RestrictsRegions("h"), c.bound)
			assert.DeepEqual(t, catalog.CommonRegions("h"), c.want)
		})
	}
}
