// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/suspect"
)

// ends has what was told of servers that ended.
type ends struct {
	mu   sync.Mutex
	told map[string][]suspect.Digest
	down map[string]bool
}

func (e *ends) refuses(instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down[instance]
}

func (e *ends) ended(instance string, digests []suspect.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told[instance] = slices.Concat(e.told[instance], digests)
}

func (e *ends) set(instance string, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[instance] = down
}

func (e *ends) of(instance string) []suspect.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(slices.Values(e.told[instance]))
}

func TestServersThatEndedAreToldFromConnectionsThatBroke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &ends{told: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		b := relay.NewBroken(e.refuses, e.ended)

		b.Add("lives", 1)
		time.Sleep(time.Second)
		assert.Equal(t, len(e.of("lives")), 0)

		e.set("ended", true)
		b.Add("ended", 1)
		b.Add("ended", 2)
		synctest.Wait()
		assert.DeepEqual(t, e.of("ended"), []suspect.Digest{1, 2})
		b.Add("ended", 3)
		assert.DeepEqual(t, e.of("ended"), []suspect.Digest{1, 2, 3})

		// One that listens a little longer than it answers.
		b.Add("slow", 4)
		time.Sleep(50 * time.Millisecond)
		e.set("slow", true)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, e.of("slow"), []suspect.Digest{4})

		// One that takes connections, as through a proxy, whose entry goes.
		b.Add("listed", 5)
		time.Sleep(3 * time.Second)
		b.Gone("listed")
		assert.DeepEqual(t, e.of("listed"), []suspect.Digest{5})
		b.Add("late", 6)
		time.Sleep(6 * time.Second)
		b.Gone("late")
		assert.Equal(t, len(e.of("late")), 0)

		// A caller left just before, or long before, what it had asked for ended the server.
		b.Leave("left", 9)
		time.Sleep(2 * time.Second)
		b.Leave("left", 10)
		time.Sleep(100 * time.Millisecond)
		b.Refused("left")
		assert.DeepEqual(t, e.of("left"), []suspect.Digest{10})

		// One that lived when it was looked at first, and ends later.
		b.Add("later", 7)
		time.Sleep(2 * time.Second)
		e.set("later", true)
		b.Add("later", 8)
		synctest.Wait()
		assert.DeepEqual(t, e.of("later"), []suspect.Digest{8})
	})
}

// A look at a server went on for up to a second after its host had ended.
func TestALookEndsWithTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		looking := make(chan struct{}, 2)
		var ended atomic.Bool
		b := relay.NewBrokenUntil(ctx, func(ctx context.Context) bool {
			looking <- struct{}{}
			<-ctx.Done()
			ended.Store(true)
			return false
		})
		b.Add("server", suspect.Digest(1))
		<-looking
		end()
		synctest.Wait()
		assert.Assert(t, ended.Load())
	})
}
