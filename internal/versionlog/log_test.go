// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package versionlog_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/versionlog"
)

const window = 30 * time.Second

var errDiscarded = errors.New("history was discarded")

// newLog returns a record of a host whose peers and publisher report what is given. A nil history was
// discarded.
func newLog(t *testing.T, peers []versionlog.Report, history *versionlog.Report) *versionlog.Log {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return versionlog.New(versionlog.Options{
		Context: t.Context(),
		Peers:   func(context.Context) []versionlog.Report { return peers },
		History: func(context.Context) (versionlog.Report, error) {
			if history == nil {
				return versionlog.Report{}, errDiscarded
			}
			return *history, nil
		},
		Log: log, Scope: tally.NoopScope,
	})
}

func checkDuring(t *testing.T, l *versionlog.Log, wanted []string, wantedComplete bool) {
	t.Helper()
	versions, complete := l.During(t.Context(), "engines", window)
	assert.DeepEqual(t, versions, wanted)
	assert.Equal(t, complete, wantedComplete)
}

// A host that had just started took the one version that it saw for the only one.
func TestNewHostTakesVersionInSightForTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(t, nil, nil)
		l.Add("engines", "v2")
		checkDuring(t, l, []string{"v2"}, false)
		l.Complete()
		checkDuring(t, l, []string{"v2"}, false)
		time.Sleep(window)
		checkDuring(t, l, []string{"v2"}, true)
	})
}

func TestRemovedVersionCountsWithinWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(t, nil, nil)
		l.Add("engines", "v1")
		l.Add("engines", "v2")
		l.Add("others", "v3")
		l.Complete()
		time.Sleep(time.Minute)
		l.Remove("engines", "v1")
		checkDuring(t, l, []string{"v1", "v2"}, true)
		time.Sleep(window - time.Second)
		checkDuring(t, l, []string{"v1", "v2"}, true)
		time.Sleep(time.Second)
		checkDuring(t, l, []string{"v2"}, true)
	})
}

// Hosts that were restarted in turn forgot which version had left.
func TestRestartedHostForgetsVersionThatPeersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		young := versionlog.Report{Observed: 3 * time.Second}
		old := versionlog.Report{Observed: time.Minute, Versions: []versionlog.Seen{
			{Service: "engines", Version: "v1", Ago: 10 * time.Second}, {Service: "engines", Version: "v2"},
		}}
		l := newLog(t, []versionlog.Report{young, old, {}}, nil)
		l.Add("engines", "v2")
		l.Complete()
		checkDuring(t, l, []string{"v1", "v2"}, true)
		// The next host learns from this one.
		next := newLog(t, []versionlog.Report{l.Report()}, nil)
		next.Add("engines", "v2")
		next.Complete()
		checkDuring(t, next, []string{"v1", "v2"}, true)
		time.Sleep(20 * time.Second)
		checkDuring(t, next, []string{"v2"}, true)
	})
}

func TestHostLearnsFromWholeHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(t, nil, &versionlog.Report{Observed: versionlog.Retention, Versions: []versionlog.Seen{
			{Service: "engines", Version: "v1"}, {Service: "engines", Version: "v2"},
		}})
		l.Add("engines", "v2")
		l.Complete()
		checkDuring(t, l, []string{"v1", "v2"}, true)
	})
}

// A host that was cut off, or whose process stood still, took what it knew for all that there was.
func TestInterruptedHostTakesItsRecordForComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(t, nil, nil)
		l.Add("engines", "v2")
		l.Complete()
		time.Sleep(time.Minute)
		l.Interrupt()
		checkDuring(t, l, []string{"v2"}, false)
		l.Complete()
		checkDuring(t, l, []string{"v2"}, false)
		time.Sleep(window)
		checkDuring(t, l, []string{"v2"}, true)
	})
}

// A publisher that does not answer held requests whose version is not known.
func TestSlowEvidenceHoldsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := versionlog.New(versionlog.Options{
			Context: t.Context(),
			Peers:   func(context.Context) []versionlog.Report { return nil },
			History: func(ctx context.Context) (versionlog.Report, error) {
				<-ctx.Done()
				return versionlog.Report{}, ctx.Err()
			},
			Log: log, Scope: tally.NoopScope,
		})
		l.Add("engines", "v2")
		l.Complete()
		started := time.Now()
		checkDuring(t, l, []string{"v2"}, false)
		assert.Check(t, time.Since(started) <= 250*time.Millisecond)
		time.Sleep(5 * time.Second)
	})
}
