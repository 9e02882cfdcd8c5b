// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/publisher"
)

func platformDown(r *run) (func(), time.Duration) {
	if !r.markFaulty("platform") {
		return nil, 0
	}
	r.site.Configuration.SetDown(true)
	duration := r.randomDuration(time.Second, 20*time.Second)
	r.extendDelays(time.Now().Add(duration))
	return func() {
		r.site.Configuration.SetDown(false)
		r.unmarkFaulty("platform")
	}, duration
}

// platformStale makes the platform show an older revision to all readers or to one node.
func platformStale(r *run) (func(), time.Duration) {
	if !r.markFaulty("platform") {
		return nil, 0
	}
	space := publisher.SpaceConfiguration
	if r.random.IntN(2) == 0 {
		space = publisher.SpaceHosts
	}
	reader := netip.Addr{}
	if r.random.IntN(2) == 0 {
		reader = r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))].Caller.Addr()
	}
	revision := r.site.Configuration.Revision(space)
	r.site.Configuration.SetStale(space, reader, max(revision-min(revision-1, uint64(r.random.IntN(5))), 1))
	duration := r.randomDuration(time.Second, 20*time.Second)
	r.extendDelays(time.Now().Add(duration))
	return func() {
		r.site.Configuration.SetStale(space, reader, 0)
		r.unmarkFaulty("platform")
	}, duration
}

func listLags(r *run) (func(), time.Duration) {
	if !r.markFaulty("list lag") {
		return nil, 0
	}
	r.site.Configuration.SetHostLag(r.randomDuration(500*time.Millisecond, 10*time.Second))
	duration := r.randomDuration(time.Second, 15*time.Second)
	r.extendDelays(time.Now().Add(duration + 10*time.Second))
	return func() {
		r.site.Configuration.SetHostLag(0)
		r.unmarkFaulty("list lag")
	}, duration
}

// changingKey is the workspace whose weight changes. No request depends on it.
const changingKey = "workspaces/training"

func changeValue(weight int) string {
	return fmt.Sprintf(`{"format":1,"name":"training","customer":"farbwerk","weight":%d,"pipelines":{"shade-match":{}}}`, weight)
}

func (r *run) publish(value string) (func(), time.Duration) {
	r.site.Configuration.Publish(publisher.SpaceConfiguration, changingKey, value)
	return func() {}, time.Millisecond
}

func publishChange(r *run) (func(), time.Duration) {
	return r.publish(changeValue(1 + r.random.IntN(1000)))
}

func publishInvalid(r *run) (func(), time.Duration) {
	return r.publish(changeValue(1001 + r.random.IntN(1000)))
}

func publishRemoval(r *run) (func(), time.Duration) {
	r.site.Configuration.Remove(publisher.SpaceConfiguration, changingKey)
	return func() {}, time.Millisecond
}

// modelKey is the key of the model that the engines load.
const modelKey = "models/colour-guide"

// publishVersion publishes the next version of the model, which all engines have to load.
func publishVersion(r *run) (func(), time.Duration) {
	r.version++
	value := fmt.Sprintf(`{"format":1,"name":"colour-guide","version":"v%d","pool":"language-models","bytes":16000000000,"replicas":8}`, r.version)
	r.site.Configuration.Publish(publisher.SpaceConfiguration, modelKey, value)
	return func() {}, time.Millisecond
}

// publishFork publishes a revision with another value for one node than for the others.
func publishFork(r *run) (func(), time.Duration) {
	n := r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))]
	revision := r.site.Configuration.Revision(publisher.SpaceConfiguration) + 1
	r.site.Configuration.Fork(n.Caller.Addr(), changingKey, revision, changeValue(500))
	return r.publish(changeValue(1 + r.random.IntN(400)))
}
