// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

// Requests of routes that can't be used got 404, waited for their stages until their time was over, or reached a
// server without them.
func TestRequestOfUnusableRouteIsHeld(t *testing.T) {
	server := newScriptedServer(t, refuse)
	site := newLoopbackSite(t, server)
	route := func(name string) relay.Route {
		return relay.Route{
			Name: name, Host: loopbackHost, Prefix: "/" + name + "/", Public: true, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1,
			Targets: []relay.Target{{Service: plainService, Weight: 1}},
		}
	}
	noPool := route("no-pool")
	noPool.Stages = []relay.Stage{{Service: plainService}}
	noPool.Stream = true
	noService := route("no-service")
	noService.Stages = []relay.Stage{{Service: "gone"}}
	keyed := route("keyed")
	keyed.Public = false
	catalog := relay.NewCatalog(2, []relay.Route{
		{Name: "unreadable", Host: loopbackHost, Prefix: "/unreadable/", Public: true, Unusable: "unknown kind"}, noPool, noService, keyed,
	}, []relay.Service{{Name: plainService}}, map[string]*relay.Workspace{}, relay.Limits{})
	catalog.LacksKeys = true
	assert.Equal(t, len(catalog.Problems), 2)
	site.core.SetCatalog(catalog)
	for _, name := range []string{"unreadable", "no-pool", "no-service", "keyed"} {
		began := time.Now()
		_, err := site.serve(t, name)
		v := verdict.As(err)
		assert.Equal(t, v.Verdict, verdict.NotRun, "%s", name)
		assert.Equal(t, v.Reason, relay.ReasonUnusable, "%s", name)
		assert.Assert(t, v.RetryAfter >= time.Second && time.Since(began) < 500*time.Millisecond)
	}
	assert.Equal(t, server.requestCount(), 0)
}
