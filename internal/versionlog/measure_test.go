// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package versionlog_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/versionlog"
)

var measure = flag.Bool("measure", false, "print the table of docs/design/versions-before-a-start.md")

// publisherRetention is for how long the publisher keeps its history.
const publisherRetention = 20 * time.Second

// evidence is a way to tell whether all servers have had one version.
type evidence string

const (
	evidenceInSight   evidence = "in sight"
	evidenceRetention evidence = "retention trusted"
	evidencePeers     evidence = "hosts asked"
	evidenceWhole     evidence = "asked at start, whole history"
	evidenceDated     evidence = "asked at start, dated history"
)

// publisherState is how the publisher is when hosts start.
type publisherState string

const (
	publisherYoung     publisherState = "young"
	publisherOld       publisherState = "old"
	publisherCompacted publisherState = "history discarded"
	publisherChanged   publisherState = "discarded, changed"
	publisherSilent    publisherState = "silent"
)

// fleet is a set of hosts that learn from each other and from a publisher.
type fleet struct {
	t     *testing.T
	way   evidence
	state publisherState
	logs  []*versionlog.Log
	// versions are those that servers have, leftAt is when v1 left; zero if it never served or still does.
	versions []string
	leftAt   time.Time
	calls    int
}

// start starts a host anew.
func (f *fleet) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := versionlog.New(versionlog.Options{
		Context: f.t.Context(),
		Peers:   func(context.Context) []versionlog.Report { return f.peers(i) },
		History: f.history,
		Log:     log, Scope: tally.NoopScope,
	})
	for _, v := range f.versions {
		l.Add("engines", v)
	}
	l.Complete()
	f.logs[i] = l
	if f.asksAtStart() {
		l.Learn(f.t.Context(), versionlog.Retention)
	}
}

func (f *fleet) asksAtStart() bool {
	return f.way == evidenceWhole || f.way == evidenceDated
}

// peers returns what the hosts report that a host asks: those that run longest are among them.
func (f *fleet) peers(asking int) []versionlog.Report {
	if f.way != evidencePeers && !f.asksAtStart() {
		return nil
	}
	var oldest versionlog.Report
	for i, l := range f.logs {
		if i == asking || l == nil {
			continue
		}
		if r := l.Report(); r.Observed > oldest.Observed {
			oldest = r
		}
	}
	if f.calls += 4; len(f.logs) <= 12 {
		f.calls += len(f.logs) - 1 - 4
	}
	return []versionlog.Report{oldest}
}

// history returns what the publisher tells of the versions before.
func (f *fleet) history(context.Context) (versionlog.Report, error) {
	f.calls++
	r := versionlog.Report{Observed: versionlog.Retention}
	seen := []string{"v2"}
	switch {
	case f.state == publisherSilent:
		return versionlog.Report{}, errDiscarded
	case f.state == publisherYoung:
		if !f.leftAt.IsZero() {
			seen = append(seen, "v1")
		}
	case f.way != evidenceRetention && f.way != evidenceDated:
		return versionlog.Report{}, errDiscarded
	case f.way == evidenceDated && f.state == publisherCompacted && !f.leftAt.IsZero():
		// The last change is the removal of a server, which the history does not show.
		return versionlog.Report{}, errDiscarded
	case f.state == publisherOld && !f.leftAt.IsZero() && time.Since(f.leftAt) < publisherRetention:
		seen = append(seen, "v1")
	}
	for _, v := range seen {
		r.Versions = append(r.Versions, versionlog.Seen{Service: "engines", Version: v})
	}
	return r, nil
}

// decide returns what a host makes of a stream that began at a version: "right", "wrong" or "not known".
func (f *fleet) decide(host int, began string) string {
	versions, complete := f.logs[host].During(f.t.Context(), "engines", window)
	if f.way == evidenceInSight {
		complete = true
	}
	switch {
	case !complete || len(versions) != 1:
		return "not known"
	case versions[0] == began:
		return "right"
	default:
		return "wrong"
	}
}

// lose restarts hosts as the kind of loss says. A restart in turn takes a tenth of the hosts at a time.
func (f *fleet) lose(kind string) {
	lost := len(f.logs)
	switch kind {
	case "in turn":
		step := max(lost/10, 1)
		for from := 0; from < lost; from += step {
			for i := from; i < min(from+step, lost); i++ {
				f.start(i)
			}
			time.Sleep(time.Second)
		}
		return
	case "nine in ten":
		lost = lost * 9 / 10
	case "half":
		lost /= 2
	}
	for i := range lost {
		f.logs[i] = nil
	}
	for i := range lost {
		f.start(i)
	}
}

// TestEvidenceOfOnlyVersion compares ways to tell which versions there were before the start of a host, for
// streams that callers take up after hosts were lost.
func TestEvidenceOfOnlyVersion(t *testing.T) {
	sizes := []int{8}
	if *measure {
		sizes = []int{8, 60, 585}
	}
	for _, count := range sizes {
		for _, kind := range []string{"all at once", "in turn", "nine in ten", "half"} {
			for _, state := range []publisherState{publisherYoung, publisherOld, publisherCompacted, publisherChanged, publisherSilent} {
				for _, way := range []evidence{evidenceInSight, evidenceRetention, evidencePeers, evidenceWhole, evidenceDated} {
					row := fmt.Sprintf("| %d | %s | %s | %s |", count, kind, state, way)
					for _, left := range []bool{false, true} {
						synctest.Test(t, func(t *testing.T) { row += replay(t, count, kind, state, way, left) })
					}
					if *measure {
						t.Log(row)
					}
				}
			}
		}
	}
}

// replay returns the columns of one row: shares of streams right, wrong and not known, and calls a host.
func replay(t *testing.T, count int, kind string, state publisherState, way evidence, left bool) string {
	f := &fleet{t: t, way: way, state: publisherYoung, logs: make([]*versionlog.Log, count), versions: []string{"v2"}}
	began := "v2"
	if left {
		began, f.versions = "v1", []string{"v1", "v2"}
	}
	for i := range f.logs {
		f.start(i)
	}
	time.Sleep(time.Minute)
	if left {
		f.leftAt, f.versions = time.Now(), []string{"v2"}
		for _, l := range f.logs {
			l.Remove("engines", "v1")
		}
	}
	time.Sleep(3 * time.Second)
	f.state, f.calls = state, 0
	f.lose(kind)
	time.Sleep(time.Second)
	outcomes := make(map[string]float64)
	for i := range f.logs {
		outcomes[f.decide(i, began)]++
	}
	n := float64(count)
	if way == evidenceDated {
		assert.Check(t, outcomes["wrong"] == 0 || state == publisherChanged, "%s, %s", kind, state)
		if !left && (kind != "all at once" || state != publisherSilent) {
			assert.Equal(t, outcomes["right"], n, "%s, %s", kind, state)
		}
	}
	synctest.Wait()
	return fmt.Sprintf(" %.2f | %.2f | %.2f | %.1f |", outcomes["right"]/n, outcomes["wrong"]/n, outcomes["not known"]/n, float64(f.calls)/n)
}
