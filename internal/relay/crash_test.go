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

// crashRecorder records the crashes that a detector reports.
type crashRecorder struct {
	mu       sync.Mutex
	reported map[string][]suspect.Digest
	down     map[string]bool
}

func (e *crashRecorder) refuses(instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down[instance]
}

func (e *crashRecorder) ended(instance string, digests []suspect.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported[instance] = slices.Concat(e.reported[instance], digests)
}

func (e *crashRecorder) set(instance string, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[instance] = down
}

func (e *crashRecorder) digestsOf(instance string) []suspect.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(slices.Values(e.reported[instance]))
}

func TestCrashDetectorReportsOnlyCrashedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		detector := relay.NewCrashDetector(e.refuses, e.ended)

		detector.RecordBroken("lives", 1)
		time.Sleep(time.Second)
		assert.Equal(t, len(e.digestsOf("lives")), 0)

		e.set("ended", true)
		detector.RecordBroken("ended", 1)
		detector.RecordBroken("ended", 2)
		synctest.Wait()
		assert.DeepEqual(t, e.digestsOf("ended"), []suspect.Digest{1, 2})
		detector.RecordBroken("ended", 3)
		assert.DeepEqual(t, e.digestsOf("ended"), []suspect.Digest{1, 2, 3})

		// A server that keeps listening shortly after it has stopped answering.
		detector.RecordBroken("slow", 4)
		time.Sleep(50 * time.Millisecond)
		e.set("slow", true)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, e.digestsOf("slow"), []suspect.Digest{4})

		// A server that accepts connections, as through a proxy, until the publisher no
		// longer lists it.
		detector.RecordBroken("listed", 5)
		time.Sleep(3 * time.Second)
		detector.Delisted("listed")
		assert.DeepEqual(t, e.digestsOf("listed"), []suspect.Digest{5})

		// One that the publisher lists long after the connection broke, because its readers were
		// cut off from it; one that it lists for longer than that, one that was leaving, and one
		// that has answered since.
		for _, instance := range []string{"late", "later still", "leaving", "answers"} {
			detector.RecordBroken(instance, 6)
		}
		time.Sleep(time.Second)
		detector.RecordAnswer("answers")
		time.Sleep(5 * time.Second)
		for _, delisted := range []struct {
			instance string
			do       func(instance string)
			want     []suspect.Digest
		}{
			{"late", detector.Delisted, []suspect.Digest{6}}, {"leaving", detector.DelistedLeaving, nil}, {"answers", detector.Delisted, nil},
		} {
			delisted.do(delisted.instance)
			assert.DeepEqual(t, e.digestsOf(delisted.instance), delisted.want)
		}
		time.Sleep(34 * time.Second)
		detector.Delisted("later still")
		assert.Equal(t, len(e.digestsOf("later still")), 0)

		// Requests abandoned shortly before, and long before, the server was found to have
		// crashed.
		detector.RecordAbandoned("left", 9)
		time.Sleep(2 * time.Second)
		detector.RecordAbandoned("left", 10)
		time.Sleep(100 * time.Millisecond)
		detector.ConnectionRefused("left")
		synctest.Wait()
		assert.DeepEqual(t, e.digestsOf("left"), []suspect.Digest{10})

		// A server that was up at the first probe and crashes later.
		detector.RecordBroken("later", 7)
		time.Sleep(2 * time.Second)
		e.set("later", true)
		detector.RecordBroken("later", 8)
		synctest.Wait()
		assert.DeepEqual(t, e.digestsOf("later"), []suspect.Digest{8})
	})
}

// The requests that were in progress at a server that fell silent, or that were given up there while it was
// still listed, were not counted when it was delisted. Those at a server that leaves unannounced don't count.
func TestCrashOfSilentServerIsNotNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		delist := func(instance string) []suspect.Digest {
			detector.Track(instance, 1)
			ended := detector.Track(instance, 2)
			detector.RecordAbandoned(instance, 3)
			time.Sleep(3 * time.Second)
			ended()
			detector.Delisted(instance)
			time.Sleep(time.Second)
			return e.digestsOf(instance)
		}
		e.set("silent", true)
		assert.DeepEqual(t, delist("silent"), []suspect.Digest{1, 3})
		assert.Equal(t, len(delist("leaves")), 0)
		e.set("near", true)
		e.set("cut", true)
		assert.Equal(t, len(delist("cut")), 0)
	})
}

// The entries of servers that fell silent lapsed in an outage of the publisher, and their requests counted
// only once the hosts gave the entries up. Servers that are up, or that the host can't reach, don't count.
func TestCrashOfLapsedServerIsNoticedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		lapse := func(instance string) []suspect.Digest {
			detector.Track(instance, 1)
			detector.RecordAbandoned(instance, 2)
			time.Sleep(3 * time.Second)
			detector.Lapsed(instance)
			time.Sleep(300 * time.Millisecond)
			return e.digestsOf(instance)
		}
		e.set("silent", true)
		assert.DeepEqual(t, lapse("silent"), []suspect.Digest{1, 2})
		detector.Track("silent", 3)
		detector.Delisted("silent")
		time.Sleep(time.Second)
		// What was sent there after it was found silent does not count.
		assert.DeepEqual(t, e.digestsOf("silent"), []suspect.Digest{1, 2})

		assert.Equal(t, len(lapse("up")), 0)
		// It falls silent later.
		e.set("up", true)
		detector.Delisted("up")
		time.Sleep(time.Second)
		assert.DeepEqual(t, e.digestsOf("up"), []suspect.Digest{1, 2})

		e.set("near", true)
		e.set("cut", true)
		assert.Equal(t, len(lapse("cut")), 0)
	})
}

// An answer whose end can't be checked counts against its request only if the server is found down
// right after it.
func TestSoundServersThatSendTextsCountAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		var trialsEnded atomic.Int64
		endTrial := func() { trialsEnded.Add(1) }

		e.set("crashed", true)
		detector.RecordUnverified("crashed", 1, endTrial)
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, e.digestsOf("crashed"), []suspect.Digest{1})
		assert.Equal(t, trialsEnded.Load(), int64(0))

		// One that ends later, one that the publisher delists at once, and one that answers again.
		detector.RecordUnverified("later", 2, endTrial)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, trialsEnded.Load(), int64(1))
		e.set("later", true)
		detector.ConnectionRefused("later")
		detector.RecordUnverified("delisted", 3, endTrial)
		detector.Delisted("delisted")
		detector.RecordUnverified("answers", 4, endTrial)
		time.Sleep(time.Millisecond)
		detector.RecordAnswer("answers")
		assert.Equal(t, trialsEnded.Load(), int64(2))
		e.set("answers", true)
		time.Sleep(time.Second)
		for _, instance := range []string{"later", "delisted", "answers"} {
			assert.Equal(t, len(e.digestsOf(instance)), 0, "%s", instance)
		}

		// A connection that breaks while the server is looked at for an answer that may be whole.
		detector.RecordUnverified("both", 5, endTrial)
		detector.RecordBroken("both", 6)
		e.set("both", true)
		time.Sleep(time.Second)
		assert.DeepEqual(t, e.digestsOf("both"), []suspect.Digest{5, 6})
	})
}

// A server that was found up within some milliseconds after the end of an answer may still have crashed
// under it.
func TestCrashRightAfterProbeIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: make(map[string]bool)}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		var settled atomic.Int64
		detector.RecordUnverified("a", 1, func() { settled.Add(1) })
		time.Sleep(95 * time.Millisecond)
		detector.RecordUnverified("a", 2, func() { settled.Add(1) })
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, settled.Load(), int64(1))
		e.set("a", true)
		time.Sleep(time.Second)
		assert.DeepEqual(t, e.digestsOf("a"), []suspect.Digest{2})
	})
}

// Each end of a stream cost a connection to its server.
func TestEndsOfStreamsCauseManyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, sends := range []bool{false, true} {
			var probes, settled int
			detector := relay.NewCrashDetectorWithData(func() { probes++ }, sends)
			for range 1000 {
				detector.RecordUnverified("a", 1, func() { settled++ })
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			assert.Equal(t, settled, 1000)
			if sends {
				assert.Equal(t, probes, 0)
			} else {
				assert.Check(t, probes > 0 && probes <= 45, "%d probes in 10 s", probes)
			}
		}
	})
}

// A connection broke while this host's links were lost. When the server refused connections more than
// a second later, what it had lost was dropped, and the publisher's delisting found nothing to count.
func TestEvidenceIsDroppedWhenCrashIsFoundLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: map[string]bool{"near": true, "ended": true}}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		detector.RecordBroken("ended", 1)
		detector.RecordAbandoned("ended", 2)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(e.digestsOf("ended")), 0)
		e.set("near", false)
		detector.ConnectionRefused("ended")
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, e.digestsOf("ended"), []suspect.Digest{1})

		// A server that was up after the connection broke, and crashes for another reason.
		detector.RecordBroken("later", 3)
		time.Sleep(3 * time.Second)
		e.set("later", true)
		detector.ConnectionRefused("later")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(e.digestsOf("later")), 0)
	})
}

// A host that had lost its links to servers was refused by all of them, and took them for crashed.
func TestCrashDetectorDoesNotTakeLostLinksForCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &crashRecorder{reported: make(map[string][]suspect.Digest), down: map[string]bool{"near": true, "cut": true, "ended": true}}
		detector := relay.NewCrashDetector(e.refuses, e.ended)
		for _, server := range []string{"cut", "ended"} {
			detector.RecordBroken(server, 1)
			detector.RecordAbandoned(server, 2)
			synctest.Wait()
			detector.ConnectionRefused(server)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(e.digestsOf("cut"))+len(e.digestsOf("ended")), 0)

		// The links are back, and one of the servers still refuses connections.
		e.set("near", false)
		e.set("cut", false)
		detector.ConnectionRefused("ended")
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, e.digestsOf("ended"), []suspect.Digest{1, 2})
		assert.Equal(t, len(e.digestsOf("cut")), 0)

		// A server that crashed while the links were lost, and is no longer listed.
		e.set("near", true)
		e.set("delisted", true)
		detector.RecordBroken("delisted", 3)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(e.digestsOf("delisted")), 0)
		detector.Delisted("delisted")
		assert.DeepEqual(t, e.digestsOf("delisted"), []suspect.Digest{3})
	})
}

// A probe of a server used to continue for up to a second after its host had ended.
func TestProbeEndsWithHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		probing := make(chan struct{}, 2)
		var ended atomic.Bool
		detector := relay.NewCrashDetectorWithContext(ctx, func(ctx context.Context) bool {
			probing <- struct{}{}
			<-ctx.Done()
			ended.Store(true)
			return false
		})
		detector.RecordBroken("server", suspect.Digest(1))
		<-probing
		end()
		synctest.Wait()
		assert.Assert(t, ended.Load())
	})
}
