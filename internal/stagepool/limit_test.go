// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

// The owner of a pool queued the pieces of any number of requests at all hosts, and ended by its memory.
func TestOwnerQueuesPiecesWithoutBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, groups := newFleet(ctx, 3, server(1, "a"))
		var all sync.WaitGroup
		var mu sync.Mutex
		failures := make(map[stageplan.Failure]int)
		for i := range 200 {
			all.Go(func() {
				a := groups[i%3].Run(ctx, work(fmt.Sprint(i), stageplan.MaxPieces))
				mu.Lock()
				defer mu.Unlock()
				failures[a.Failure]++
			})
		}
		synctest.Wait()
		assert.Check(t, stagepool.MostHeld(groups) <= 64*stageplan.MaxPieces, "%d pieces at one host", stagepool.MostHeld(groups))
		assert.Check(t, failures[stageplan.FailureFull] > 100, "%v", failures)
		small := groups[0].Run(ctx, work("ordinary", 40))
		assert.Check(t, small.Failure != stageplan.FailureFull, "ordinary work is refused: %v", small.Failure)
		all.Wait()
		assert.Equal(t, stagepool.MostHeld(groups), 0)
		cancel()
	})
}

// The owner of a pool planned more pieces of one request than any host may accept, for a host of another version.
func TestOwnerPlansTooManyPiecesOfOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 1, server(1, "a"))
		pieces := make([]*stagepb.Piece, stageplan.MaxPieces+1)
		for i := range pieces {
			pieces[i] = &stagepb.Piece{Index: int32(i)}
		}
		_, err := clientOf(f).Run(ctx, &stagepb.RunRequest{Service: "read", Shard: "read", Request: "r", Pieces: pieces, LatestMs: 3000, DeadlineMs: 8000})
		assert.ErrorContains(t, err, "invalid_argument")
		assert.Equal(t, stagepool.MostHeld(groups), 0)
		cancel()
	})
}
