// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/origin"
)

// The hosts that began streams are lost, alone or with all others of their zone, and other hosts are asked.
func TestVersionsAreLostWithHosts(t *testing.T) {
	t.Parallel()
	const count = 300
	for _, size := range []int{3, 9, 60} {
		for name, lost := range map[string]func(i int) bool{
			"host": func(i int) bool { return i == 0 }, "zone": func(i int) bool { return i%3 == 0 },
		} {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHosts(t.Context(), size)
					var s streams
					for range count {
						s.begin(h, h.peers[0])
					}
					time.Sleep(time.Second)
					for i, p := range h.peers {
						if lost(i) {
							h.kill(p)
						}
					}
					// Before the others have noticed the loss, and after.
					left := h.up()
					s.find(t.Context(), h, left[:1]).check(t, count, 1)
					time.Sleep(lossTime + maxLag)
					s.find(t.Context(), h, left[len(left)-1:]).check(t, count, 1)
				})
			})
		}
	}
}

// A host that starts ranks above some of those that keep versions, and knows none.
func TestVersionsAreHiddenByStartedHosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(t.Context(), 8)
		var s streams
		for range 200 {
			s.begin(h, h.peers[0])
		}
		time.Sleep(time.Second)
		for _, p := range h.peers[:2] {
			h.kill(p)
			h.start(t.Context(), p)
		}
		s.find(t.Context(), h, h.peers[:1]).check(t, 200, 1)
	})
}

func TestUnknownStreamHasNoVersion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(t.Context(), 8)
		began := time.Now()
		for i := range 10 {
			got := h.at(h.peers[0]).Look(t.Context(), fmt.Sprint("s-", i))
			assert.Equal(t, got, origin.Finding{Evidence: origin.EvidenceMissing})
		}
		assert.Check(t, time.Since(began) < 10*time.Millisecond, "%v", time.Since(began))
	})
}

// Hosts were killed and started anew in turn until all copies of a version were gone.
func TestVersionsAreLostAsHostsRestartInTurn(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 8, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts(t.Context(), size)
				time.Sleep(time.Minute)
				var s streams
				for i := range 40 * size {
					s.begin(h, h.peers[i%size])
				}
				// The callers of the first host take up within 15 s.
				for i, p := range h.peers {
					if i >= 8 {
						break
					}
					h.kill(p)
					time.Sleep(200 * time.Millisecond)
					h.start(t.Context(), p)
					time.Sleep(1500 * time.Millisecond)
				}
				s.find(t.Context(), h, h.up()).check(t, len(s.names), 1)
			})
		})
	}
}

// All hosts stopped in an orderly way, some at a time, before the first of them had started again.
func TestVersionsAreLostAsAllHostsStopInGroups(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8, 81} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts(t.Context(), size)
				time.Sleep(time.Minute)
				var s streams
				for i := range 20 * size {
					s.begin(h, h.peers[i%size])
				}
				time.Sleep(100 * time.Millisecond)
				atOnce := (size + 7) / 8
				done := make(chan struct{}, size)
				for i, p := range h.peers {
					go func() {
						time.Sleep(time.Duration(i/atOnce) * 500 * time.Millisecond)
						// Leaving hosts serve their callers.
						h.leave(p, 6*time.Second)
						time.Sleep(300 * time.Millisecond)
						h.start(t.Context(), p)
						done <- struct{}{}
					}()
				}
				time.Sleep(4100 * time.Millisecond)
				for i := range 2 * size {
					s.begin(h, h.peers[i%size])
				}
				h.shuffle(s.names)
				const rounds = 16
				for chunk := range slices.Chunk(s.names, (len(s.names)+rounds-1)/rounds) {
					time.Sleep(500 * time.Millisecond)
					s.findNames(t.Context(), h, h.up(), chunk).check(t, len(chunk), 1)
				}
				for range h.peers {
					<-done
				}
			})
		})
	}
}

// The hosts of a zone were lost, and those of the next one a few seconds later.
func TestVersionsAreLostWithOneZoneAfterAnother(t *testing.T) {
	t.Parallel()
	for _, size := range []int{9, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts(t.Context(), size)
				time.Sleep(time.Minute)
				var s streams
				for i := range 10 * size {
					s.begin(h, h.peers[i%size])
				}
				for zone := range 2 {
					for i := zone; i < size; i += 3 {
						h.kill(h.peers[i])
					}
					time.Sleep(3 * time.Second)
				}
				s.find(t.Context(), h, h.up()).check(t, len(s.names), 1)
			})
		})
	}
}

// Nine in ten hosts were lost at once. What the others know must reach their keepers, and that the rest is
// not known must not count as proof that it never was.
func TestLossOfMostHostsCountsAsProof(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 60
		h := newHosts(t.Context(), size)
		time.Sleep(time.Minute)
		var s streams
		for i := range 10 * size {
			s.begin(h, h.peers[i%size])
		}
		for i, p := range h.peers {
			if i%10 != 0 {
				h.kill(p)
			}
		}
		left := h.up()
		held := 0
		for _, name := range s.names {
			for _, p := range left {
				if h.at(p).Known(origin.StreamOf(name)).IsPresent() {
					held++
					break
				}
			}
		}
		time.Sleep(lossTime + 2*maxLag + time.Second)
		s.find(t.Context(), h, left).check(t, held, 1)
		// After a while nobody takes these streams up.
		time.Sleep(time.Minute)
		assert.Equal(t, h.at(left[0]).Look(t.Context(), "unheard of").Evidence, origin.EvidenceNone)
	})
}

// A host was lost right after it had recorded a version, before other hosts were sent it.
func TestVersionIsLostWithHostRightAfterRecord(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 8, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts(t.Context(), size)
				var s streams
				for i := range size - 2 {
					s.begin(h, h.peers[i])
					h.kill(h.peers[i])
					s.find(t.Context(), h, h.up()).check(t, len(s.names), 1)
					h.start(t.Context(), h.peers[i])
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
}

// Streams whose keepers are all up, and that nobody knows, never were.
func TestUnknownStreamIsProved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(t.Context(), 8)
		time.Sleep(time.Minute)
		for i := range 10 {
			got := h.at(h.peers[i%8]).Look(t.Context(), fmt.Sprint("s-", i))
			assert.Equal(t, got, origin.Finding{Evidence: origin.EvidenceNone})
		}
		// A host that has just started can't tell, and two others that know all can.
		h.kill(h.peers[0])
		h.start(t.Context(), h.peers[0])
		assert.Equal(t, h.at(h.peers[0]).Look(t.Context(), "s").Evidence, origin.EvidenceMissing)
		assert.Equal(t, h.at(h.peers[1]).Look(t.Context(), "s").Evidence, origin.EvidenceNone)
	})
}

// While no host changes, hosts exchange nothing but the versions of new streams.
func TestCopiesAreSentAgainWithoutChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHosts(t.Context(), 30)
		var s streams
		for i := range 300 {
			s.begin(h, h.peers[i%30])
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, h.sentRecords, 3*300)
	})
}
