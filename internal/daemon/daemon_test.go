// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/daemon"
)

// TestMetricsCanBeScraped guards against a registry that refuses one of tally's own metric
// names, which terminated the daemon when it started.
func TestMetricsCanBeScraped(t *testing.T) {
	scope, metricsHandler, closer := daemon.NewMetrics()
	scope.Tagged(map[string]string{"verdict": "not_run", "reason": "overload"}).Counter("refusals").Inc(3)
	scope.SubScope("peer").Counter("heartbeats").Inc(1)
	scope.Tagged(map[string]string{"stage": "encode"}).Timer("stage").Record(time.Millisecond)
	// Closing reports the remaining values, so there is no need to wait for the reporter.
	assert.NilError(t, closer.Close())
	w := httptest.NewRecorder()
	metricsHandler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, want := range []string{`wingvale_refusals{reason="overload",verdict="not_run"} 3`, "wingvale_peer_heartbeats 1", `wingvale_stage_count{stage="encode"} 1`} {
		assert.Assert(t, strings.Contains(w.Body.String(), want), "got %s, want %s", w.Body.String(), want)
	}
}
