// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

// otherService is a second service of the route that is split.
const otherService = "other"

// newSplitSite returns a site whose route for resumable streams is split between two services of one server
// each, and the numbers of streams at these.
func newSplitSite(t *testing.T, version, otherVersion string) (*loopbackSite, *[2]atomic.Int64) {
	t.Helper()
	counts := &[2]atomic.Int64{}
	answer := func(i int) script {
		return func(w io.Writer, r *http.Request) bool {
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			counts[i].Add(1)
			writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
			writeEvents(w, resumePoint(r)+1, lateStreamEvents, 0)
			return false
		}
	}
	second := newScriptedServer(t, answer(1))
	site := newLoopbackSite(t, newScriptedServer(t, answer(0)))
	site.setVersions([]string{version})
	other := &relay.Server{Instance: "other-0", Service: otherService, Address: second.address(t), Zone: "a", Slots: loopbackSlots, Version: otherVersion}
	site.core.ChangeServers([]listed.Change[relay.Server]{{Service: otherService, New: other}})
	site.engines.Change([]listed.Change[placing.Engine]{{Service: otherService, New: &placing.Engine{Instance: other.Instance, Address: other.Address, Zone: "a"}}})
	site.core.SetCatalog(relay.NewCatalog(2, []relay.Route{{
		Name: "resumable", Host: loopbackHost, Prefix: "/resumable/", Public: true, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2,
		Stream: true, Resumable: true, Repeatable: true,
		Targets: []relay.Target{{Service: engineService, Weight: 1}, {Service: otherService, Weight: 1}},
	}}, []relay.Service{{Name: engineService, Engine: &relay.Engine{}}, {Name: otherService, Engine: &relay.Engine{}}}, nil, relay.Limits{}))
	return site, counts
}

// A stream of one service of a split route went on at the other one, or was refused there.
func TestStreamGoesOnAtAnotherServiceOfItsRoute(t *testing.T) {
	t.Parallel()
	for _, otherVersion := range []string{"v1", "v2"} {
		t.Run(otherVersion, func(t *testing.T) {
			t.Parallel()
			for i := range 20 {
				site, counts := newSplitSite(t, "v1", otherVersion)
				r := loopbackRequest(fmt.Sprint("rs-", i), "resumable")
				r.Continues, r.Origin, r.LastEvent, r.Version = true, "first", "3", option.Some(relay.StreamOrigin(engineService, "v1"))
				assert.NilError(t, site.core.Serve(t.Context(), r, &recordingSink{}))
				assert.Equal(t, counts[0].Load(), int64(1))
				assert.Equal(t, counts[1].Load(), int64(0))
			}
		})
	}
}

// A stream whose service the route does not name any more went on at another service.
func TestStreamOfRemovedServiceGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	site, counts := newSplitSite(t, "v1", "v1")
	for i := range 10 {
		r := loopbackRequest(fmt.Sprint("rs-", i), "resumable")
		r.Continues, r.Origin, r.LastEvent, r.Version = true, "first", "3", option.Some(relay.StreamOrigin("gone", "v1"))
		assert.Equal(t, verdict.Of(site.core.Serve(t.Context(), r, &recordingSink{})), verdict.NotRun)
	}
	assert.Equal(t, counts[0].Load()+counts[1].Load(), int64(0))
}
