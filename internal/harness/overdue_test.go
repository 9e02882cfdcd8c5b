// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/request"
)

// Calls to servers that had become slow were ended, and the requests failed then because no retry was left.
func TestOverdueCallsAreEndedWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := harness.New(harness.Options{
			Site: sites.Farbwerk(), Nodes: 1, Network: harness.Memory{Network: memnet.New(nil)},
			Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: 20 * time.Millisecond} },
			TokenInterval: 2 * time.Millisecond,
		})
		assert.NilError(t, err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		assert.NilError(t, s.AwaitReady(ctx))
		spec := request.Spec{Workspace: "paint-shops-north", Pipeline: "recipe-explanation", Input: sites.Farbwerk().Questions[0]}
		client := s.Client("")
		for range 30 {
			_, err := client.Do(ctx, spec)
			assert.NilError(t, err)
		}
		for _, server := range s.Servers("") {
			server.SetKnobs(func(k *standin.Knobs) { k.CallTime = 230 * time.Millisecond })
		}
		failed := 0
		for range 12 {
			if _, err := client.Do(ctx, spec); err != nil {
				t.Log(err)
				failed++
			}
		}
		assert.Equal(t, failed, 0)
	})
}
