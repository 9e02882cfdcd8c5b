// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package notice_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/notice"
)

// clock is a host's clock that goes on while it is suspended.
type clock struct{ now time.Duration }

// told has what a book told of servers that leave.
type told struct{ lines []string }

func newBook(t *testing.T) (*notice.Book, *clock, *told) {
	t.Helper()
	c, heard := &clock{}, &told{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return notice.NewBook(notice.Options{
		Boot:   func() time.Duration { return c.now },
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    log,
		Scope:  tally.NoopScope,
		Leaves: func(s notice.Server, from notice.Source) {
			heard.lines = append(heard.lines, fmt.Sprintf("%s by %s", s.Instance, from))
		},
	}), c, heard
}

func run(instance string) notice.Server { return notice.Server{Instance: instance} }

func TestLeavingHoldsForOneRun(t *testing.T) {
	b, _, heard := newBook(t)
	b.Heard(run("i-1@5"), notice.Notice{Leaving: true})
	b.Heard(run("i-1@5"), notice.Notice{})
	b.Left(run("i-1@5"), notice.SourcePeer)
	assert.Assert(t, b.Leaving("i-1@5"))
	assert.Assert(t, !b.Leaving("i-1@6"), "a new run under the same id")
	assert.DeepEqual(t, heard.lines, []string{"i-1@5 by answer"})
}

// A run that is listed for hours stays leaving; one that is not is let go.
func TestLeavingEndsLongAfterTheRun(t *testing.T) {
	b, c, _ := newBook(t)
	b.Left(run("listed"), notice.SourceList)
	b.Left(run("gone"), notice.SourceAnswer)
	for range 3 {
		c.now += 50 * time.Minute
		b.Listed(func(instance string) bool { return instance == "listed" })
		b.Forget()
	}
	assert.Assert(t, b.Leaving("listed"))
	assert.Assert(t, !b.Leaving("gone"))
}

// A rest lasts at least as long as it was asked for, and not much longer, also where the
// host was suspended meanwhile.
func TestARestEndsByItself(t *testing.T) {
	b, c, _ := newBook(t)
	b.Heard(run("i-1"), notice.Notice{Rest: 3 * time.Second})
	c.now += 3*time.Second - time.Millisecond
	assert.Assert(t, b.Rest("i-1") > 0)
	assert.Equal(t, b.Rest("i-2"), time.Duration(0))
	c.now += 501 * time.Millisecond
	assert.Equal(t, b.Rest("i-1"), time.Duration(0))
}

func TestAShorterRestDoesNotEndALongerOne(t *testing.T) {
	b, c, _ := newBook(t)
	b.Heard(run("i-1"), notice.Notice{Rest: 10 * time.Second})
	c.now += time.Second
	b.Heard(run("i-1"), notice.Notice{Rest: time.Second})
	assert.Assert(t, b.Rest("i-1") >= 9*time.Second)
	b.Heard(run("i-2"), notice.Notice{Rest: 24 * time.Hour})
	assert.Assert(t, b.Rest("i-2") <= notice.RestMost+time.Second, "%v", b.Rest("i-2"))
}

// A server answers many hosts at about the same time; they come back one after another.
func TestHostsDoNotAllComeBackAtOnce(t *testing.T) {
	b, _, _ := newBook(t)
	var first, last time.Duration
	for i := range 50 {
		s := run(fmt.Sprint(i))
		b.Heard(s, notice.Notice{Rest: 3 * time.Second})
		rest := b.Rest(s.Instance)
		if i == 0 {
			first, last = rest, rest
		}
		first, last = min(first, rest), max(last, rest)
	}
	assert.Assert(t, last-first > 300*time.Millisecond, "between %v and %v", first, last)
}

func TestWhatIsHeldIsBounded(t *testing.T) {
	const many = 10_000
	b, c, _ := newBook(t)
	for i := range many {
		b.Heard(run(fmt.Sprint(i)), notice.Notice{Leaving: true, Rest: time.Second})
	}
	assert.Assert(t, len(b.State(many)) < many)
	c.now += 2 * time.Hour
	b.Forget()
	assert.Equal(t, len(b.State(many)), 0)
	b.Heard(run("new"), notice.Notice{Leaving: true, Rest: time.Second})
	state := b.State(many)
	assert.Equal(t, len(state), 1)
	assert.Equal(t, state[0].Source, notice.SourceAnswer)
	assert.Assert(t, state[0].RestMs >= 1000)
}
