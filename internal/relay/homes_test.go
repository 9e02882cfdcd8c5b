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
		routes []relay.Homes
		bound  bool
		want   relay.Homes
	}{
		{"no homes", []relay.Homes{nil, nil}, false, nil},
		{"one of two routes", []relay.Homes{nil, {"a"}}, true, relay.Homes{"a"}},
		{"in common", []relay.Homes{{"a", "b"}, {"b", "c"}}, true, relay.Homes{"b"}},
		{"nothing in common", []relay.Homes{{"a"}, {"b"}}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var routes []relay.Route
			for _, regions := range c.routes {
				routes = append(routes, relay.Route{Host: "h", Prefix: "/", Homes: regions})
			}
			catalog := relay.NewCatalog(1, routes, nil, nil, relay.Limits{})
			assert.Equal(t, catalog.Bound("h"), c.bound)
			assert.DeepEqual(t, catalog.HomesOf("h"), c.want)
		})
	}
}
