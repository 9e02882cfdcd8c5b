// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/suspect"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// ended returns the end of a server under a request, so long after the start.
func ended(request suspect.Digest, server int, after time.Duration) suspect.End {
	return suspect.End{Request: request, Server: suspect.Server(server), At: start.Add(after)}
}

// endsUnder returns the ends of so many servers under a request, a second apart.
func endsUnder(request suspect.Digest, servers int) []suspect.End {
	var ends []suspect.End
	for i := range servers {
		ends = append(ends, ended(request, i, time.Duration(i)*time.Second))
	}
	return ends
}

func TestARequestUnderWhichServersEndIsSuspectedAndThenKept(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(10 * time.Second)
	for i, want := range []suspect.State{suspect.Free, suspect.Free, suspect.Suspected, suspect.Suspected, suspect.Kept} {
		b.Merge(now, ended(1, i, time.Duration(i)*time.Second))
		b.Merge(now, ended(1, i, time.Duration(i)*time.Second))
		assert.Equal(t, b.Of(now, 1).State, want, "%d servers ended", i+1)
	}
	assert.Equal(t, b.Of(now, 2).State, suspect.Free)
}

// What is kept is tried once after a while, and let go of in the end.
func TestWhatIsKeptEndsByItself(t *testing.T) {
	b := suspect.NewBook()
	b.Merge(start.Add(5*time.Second), endsUnder(1, 5)...)
	v := b.Of(start.Add(5*time.Second), 1)
	assert.Equal(t, v.State, suspect.Kept)
	assert.Equal(t, v.Until, start.Add(4*time.Second+10*time.Minute))
	assert.Equal(t, b.Of(v.Until, 1).State, suspect.Suspected)

	b.Merge(v.Until, suspect.End{Request: 1, Server: 99, At: v.Until})
	again := b.Of(v.Until, 1)
	assert.Equal(t, again.State, suspect.Kept)
	assert.Equal(t, again.Until, v.Until.Add(20*time.Minute))

	b.Forget(v.Until.Add(time.Hour))
	assert.Equal(t, b.Len(), 0)
	assert.Equal(t, b.Sum(), uint64(0))
}

func TestServersAloneUnderARequestAreForgottenSooner(t *testing.T) {
	b := suspect.NewBook()
	b.Merge(start, ended(1, 1, 0), ended(2, 2, 0), ended(2, 3, 0))
	b.Forget(start.Add(10 * time.Minute))
	assert.Equal(t, b.Len(), 2)
}

func TestAnAnswerClearsARequest(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(10 * time.Second)
	ends := endsUnder(1, 5)
	b.Merge(now, ends...)
	cleared := b.Clear(1)
	assert.Equal(t, len(cleared), 5)
	assert.Equal(t, b.Of(now, 1).State, suspect.Free)
	assert.Equal(t, len(b.Clear(1)), 0)
	// Hosts that have not heard of it tell of the ends once more.
	b.Merge(now, ends...)
	assert.Equal(t, b.Of(now, 1).State, suspect.Free)
	// What comes later counts from the beginning.
	b.Merge(now, ended(1, 10, 0), ended(1, 11, 0))
	assert.Equal(t, b.Of(now, 1).State, suspect.Free)
	b.Merge(now, ended(1, 12, 0))
	assert.Equal(t, b.Of(now, 1).State, suspect.Suspected)
}

// A request that lay on ten servers which another one ended, and never was answered,
// had as many ends against it as if it had ended them.
func TestAnEndIsPutDownToTheRequestUnderWhichMostServersEnded(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(20 * time.Second)
	b.Merge(now, endsUnder(1, 12)...)
	b.Merge(now, endsUnder(2, 10)...)
	assert.Equal(t, b.Of(now, 1).State, suspect.Kept)
	v := b.Of(now, 2)
	assert.Equal(t, v.State, suspect.Free)
	assert.Equal(t, v.Ends, 10)
	assert.Equal(t, v.Counted, 0)
	// Once a server has answered the other one, it is not what ended them.
	b.Clear(1)
	assert.Equal(t, b.Of(now, 2).State, suspect.Kept)
}

// A request lay on four servers of each of two others that ended five, one of them with
// nothing else on it: its eight ends are theirs.
func TestARequestBesideTwoThatEndServersAloneIsFree(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(20 * time.Second)
	for server := range 10 {
		harmful := suspect.Digest(1 + server/5)
		b.Merge(now, ended(harmful, server, time.Duration(server)*time.Second))
		if server%5 > 0 {
			b.Merge(now, ended(3, server, time.Duration(server)*time.Second))
		}
	}
	assert.Equal(t, b.Of(now, 1).State, suspect.Kept)
	assert.Equal(t, b.Of(now, 2).State, suspect.Kept)
	v := b.Of(now, 3)
	assert.Equal(t, v.State, suspect.Free)
	assert.Equal(t, v.Ends, 8)
	assert.Equal(t, v.Counted, 0)
}

// Of two requests that lay on the same servers, the one whose answers had begun there
// ran when the other began.
func TestARequestWhoseAnswerHadBegunIsSuspectedLast(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(20 * time.Second)
	b.Merge(now, endsUnder(1, 3)...)
	for _, e := range endsUnder(2, 3) {
		e.Answered = true
		b.Merge(now, e)
	}
	assert.Equal(t, b.Of(now, 1).State, suspect.Suspected)
	assert.Equal(t, b.Of(now, 2).State, suspect.Free)
}

// Hosts hear of ends in any order, several times and by any way.
func TestBooksThatWereToldTheSameHoldTheSame(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := start.Add(time.Minute)
	for range 200 {
		var told []suspect.End
		for range 30 {
			e := ended(suspect.Digest(random.IntN(5)), random.IntN(8), time.Duration(random.IntN(60))*time.Second)
			e.Answered, e.Cleared = random.IntN(2) == 0, random.IntN(8) == 0
			told = append(told, e)
		}
		one, other := suspect.NewBook(), suspect.NewBook()
		one.Merge(now, told...)
		random.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
		for _, e := range told {
			other.Merge(now, e)
			other.Merge(now, told[random.IntN(len(told))])
		}
		assert.Equal(t, one.Sum(), other.Sum())
		assert.Equal(t, one.Len(), other.Len())
		for d := range suspect.Digest(5) {
			assert.DeepEqual(t, one.Of(now, d), other.Of(now, d))
		}
	}
}

func TestABookIsBounded(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(time.Second)
	b.Merge(now, endsUnder(1, 5)...)
	for i := range 2 * suspect.EndsMost {
		b.Merge(now, ended(suspect.Digest(10+i), 100+i%7, 0))
	}
	assert.Assert(t, b.Len() <= suspect.EndsMost && b.Len() > suspect.EndsMost/2, "%d ends", b.Len())
	assert.Equal(t, len(b.Ends()), b.Len())
	assert.Equal(t, b.Of(now, 1).State, suspect.Kept, "the request with most ends was dropped")
}

func TestEntriesTellOfRequestsUnderWhichSeveralServersEnded(t *testing.T) {
	b := suspect.NewBook()
	now := start.Add(10 * time.Second)
	b.Merge(now, endsUnder(1, 5)...)
	b.Merge(now, ended(2, 50, 0), ended(2, 51, 0), ended(3, 52, 0))
	entries := b.Entries(now, 10)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Digest, suspect.Digest(1))
	assert.Equal(t, entries[0].State, "kept")
	assert.Equal(t, entries[1].State, "free")
	assert.Equal(t, len(b.Entries(now, 1)), 1)
}

func TestOneTryOfARequestAtATime(t *testing.T) {
	tries := suspect.NewTries()
	assert.Assert(t, tries.Begin(start, 1))
	assert.Assert(t, !tries.Begin(start, 1))
	assert.Assert(t, tries.Begin(start, 2))
	tries.End(1)
	assert.Assert(t, tries.Begin(start, 1))
	assert.Assert(t, tries.Begin(start.Add(time.Minute), 1), "a try whose outcome was never told goes on")
}

// FuzzBook tells books whatever may come from other hosts, in any order.
func FuzzBook(f *testing.F) {
	f.Add([]byte{1, 2, 3, 0, 1, 3, 3, 1, 1, 4, 3, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		one, other := suspect.NewBook(), suspect.NewBook()
		now := start.Add(2 * time.Hour)
		var told []suspect.End
		for ; len(data) >= 4; data = data[4:] {
			e := ended(suspect.Digest(data[0]%8), int(data[1]%16), time.Duration(data[2])*time.Minute)
			e.Answered, e.Cleared = data[3]&1 != 0, data[3]&2 != 0
			told = append(told, e)
			one.Merge(now, e)
		}
		other.Merge(now, told...)
		other.Merge(now, one.Ends()...)
		if one.Sum() != other.Sum() || one.Len() != other.Len() || one.Len() != len(one.Ends()) {
			t.Fatalf("%d and %d ends", one.Len(), other.Len())
		}
		for d := range suspect.Digest(8) {
			v := one.Of(now, d)
			if v.Counted > v.Ends || v.State == suspect.Kept && !now.Before(v.Until) {
				t.Fatalf("%+v", v)
			}
		}
		one.Forget(now.Add(7 * time.Hour))
		if one.Len() != 0 || one.Sum() != 0 {
			t.Fatalf("%d ends are never forgotten", one.Len())
		}
	})
}

// Engines that all crash with ten requests each.
const (
	crashedServers  = 160
	crashedRequests = 10
)

func crashed() []suspect.End {
	var ends []suspect.End
	for i := range crashedServers * crashedRequests {
		ends = append(ends, ended(suspect.Digest(i), i/crashedRequests, 0))
	}
	return ends
}

func BenchmarkMergeACrashOfAll(b *testing.B) {
	ends := crashed()
	for b.Loop() {
		suspect.NewBook().Merge(start, ends...)
	}
}

func BenchmarkOf(b *testing.B) {
	book := suspect.NewBook()
	book.Merge(start, crashed()...)
	book.Merge(start, endsUnder(5, 6)...)
	for b.Loop() {
		book.Of(start, 5)
	}
}

func BenchmarkDigest(b *testing.B) {
	c := suspect.Content{Workspace: "w", Method: "POST", Host: "h", Target: "/a", Body: make([]byte, 17000)}
	for b.Loop() {
		suspect.DigestOf(c)
	}
}
