// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package table_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

var (
	address = netip.MustParseAddrPort("10.0.0.1:7000")
	spec    = request.Spec{Workspace: "w", Pipeline: "p", Input: "x"}
)

func TestIDStartsOnceUnderConcurrentBegin(t *testing.T) {
	tab := table.New(address, table.Options{})
	id := tab.Issue(1)[0]
	started := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			_, fresh, err := tab.Begin(t.Context(), id, spec)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && fresh {
				started++
			}
		})
	}
	all.Wait()
	assert.Equal(t, started, 1)
}

func TestBeginRejectsInvalidIDs(t *testing.T) {
	other := table.New(address, table.Options{})
	cases := []struct {
		name   string
		before func(tab *table.Table, id request.ID)
		id     func(id request.ID) request.ID
		spec   request.Spec
		want   verdict.Reason
		v      verdict.Verdict
	}{
		{"another incarnation's", nil, func(request.ID) request.ID { return other.Issue(1)[0] }, spec, verdict.ReasonBadID, verdict.Unknown},
		{"made up", nil, func(id request.ID) request.ID { id.Sequence += 7; return id }, spec, verdict.ReasonBadID, verdict.Unknown},
		{"too old", func(*table.Table, request.ID) { time.Sleep(table.DefaultIDsValid + time.Second) }, nil, spec, verdict.ReasonExpiredID, verdict.Unknown},
		{"used for another request", func(tab *table.Table, id request.ID) {
			_, _, _ = tab.Begin(context.Background(), id, request.Spec{Workspace: "v"})
		}, nil, spec, verdict.ReasonConflict, verdict.Unknown},
		{"refused before", func(tab *table.Table, id request.ID) {
			run, _, _ := tab.Begin(context.Background(), id, spec)
			tab.Refuse(run, verdict.NotRun, verdict.ReasonOverload)
		}, nil, spec, verdict.ReasonOverload, verdict.NotRun},
		{"moved before", func(tab *table.Table, id request.ID) {
			run, _, _ := tab.Begin(context.Background(), id, spec)
			tab.Refuse(run, verdict.Unknown, verdict.ReasonLeaving)
		}, nil, spec, verdict.ReasonLeaving, verdict.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tab := table.New(address, table.Options{})
				id := tab.Issue(1)[0]
				if c.before != nil {
					c.before(tab, id)
				}
				if c.id != nil {
					id = c.id(id)
				}
				_, fresh, err := tab.Begin(t.Context(), id, c.spec)
				assert.Assert(t, !fresh)
				e := verdict.As(err)
				assert.Equal(t, e.Reason, c.want, "got %v", err)
				assert.Equal(t, e.Verdict, c.v)
				assert.Equal(t, e.Settled, c.v == verdict.NotRun)
			})
		})
	}
}

func TestAnswersAndRunsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(address, table.Options{})
		id := tab.Issue(1)[0]
		run, _, err := tab.Begin(t.Context(), id, spec)
		assert.NilError(t, err)
		run.Accept(request.Accepted{ID: id, Attempt: 1})
		assert.Assert(t, run.Chunk("whole"))
		run.End(time.Now(), request.Event{Type: request.EventDone, Done: &request.Done{ID: id}})
		tab.MarkEnded(run)

		c := table.Cursor{}
		events, ended, err := run.Next(t.Context(), &c)
		assert.NilError(t, err)
		assert.Assert(t, ended)
		assert.Equal(t, len(events), 3)

		time.Sleep(table.DefaultRetain + time.Second)
		tab.Sweep(time.Now())
		c = table.Cursor{}
		_, _, err = run.Next(t.Context(), &c)
		assert.ErrorIs(t, err, table.ErrDropped)
		_, fresh, err := tab.Begin(t.Context(), id, spec)
		assert.NilError(t, err)
		assert.Assert(t, !fresh, "the id must not start again though the answer is dropped")

		time.Sleep(table.DefaultIDsValid)
		tab.Sweep(time.Now())
		_, err = tab.Find(id)
		assert.Equal(t, verdict.Of(err), verdict.Unknown, "a request that was removed from the table may have run")
	})
}

func TestReadersAreIndependentAndSeeRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(address, table.Options{})
		run, _, err := tab.Begin(t.Context(), tab.Issue(1)[0], spec)
		assert.NilError(t, err)
		run.Accept(request.Accepted{Attempt: 1})
		run.Chunk("a")
		run.Chunk("b")
		fromStart, fromChunk := table.Cursor{}, table.CursorAt(1, 1)
		events, _, err := run.Next(t.Context(), &fromStart)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 3)
		events, _, err = run.Next(t.Context(), &fromChunk)
		assert.NilError(t, err)
		assert.Equal(t, events[len(events)-1].Chunk.Text, "b")
		assert.Equal(t, run.Restart(), 2)
		run.Chunk("c")
		for _, cursor := range []*table.Cursor{&fromStart, &fromChunk} {
			events, _, err = run.Next(t.Context(), cursor)
			assert.NilError(t, err)
			assert.Equal(t, events[0].Chunk.Sequence, 0)
			assert.Equal(t, events[0].Chunk.Attempt, 2)
		}
	})
}
