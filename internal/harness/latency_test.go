// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness_test

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/request"
)

var measure = flag.Bool("measure", false, "measure the latency that a node adds, on loopback")

const measured = 2000

// TestAddedLatency compares four stages through a node with the same calls made
// straight to the stand-ins, on loopback and in real time.
func TestAddedLatency(t *testing.T) {
	if !*measure {
		t.Skip("run with -args -measure")
	}
	s, err := harness.New(harness.Options{
		Site:    sites.Farbwerk(),
		Nodes:   1,
		Network: harness.Loopback{},
		Knobs:   func(sites.Pool) standin.Knobs { return standin.Knobs{} },
	})
	assert.NilError(t, err)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, s.AwaitReady(ctx))
	caller := s.Client("")
	spec := request.Spec{Workspace: "paint-shops-north", Pipeline: "recipe-explanation", Input: "How do I mix alpine grey?"}
	through := sample(t, func() error {
		_, err := caller.Do(ctx, spec)
		return err
	})
	direct := backend.New((&net.Dialer{}).DialContext)
	straight := sample(t, func() error { return straightThrough(ctx, s, direct, spec.Input) })
	for _, q := range []int{50, 99} {
		a, b := through[len(through)*q/100], straight[len(straight)*q/100]
		t.Logf("p%d: through a node %v, straight %v, added %v, %v a stage", q, a, b, a-b, (a-b)/4)
	}
	begin, used := time.Now(), processorTime()
	sample(t, func() error {
		_, err := caller.Do(ctx, spec)
		return err
	})
	t.Logf("one caller: %.0f requests a second, %v of processor time each, stand-ins and caller included",
		measured/time.Since(begin).Seconds(), (processorTime()-used)/measured)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sample(t *testing.T, do func() error) []time.Duration {
	t.Helper()
	var took []time.Duration
	for range measured {
		begin := time.Now()
		assert.NilError(t, do())
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	return took
}

func straightThrough(ctx context.Context, s *harness.Site, c *backend.Client, input string) error {
	id := request.Issue(request.Key{}, s.Nodes()[0].Caller, 1, 1, 0)
	var previous json.RawMessage
	for _, stage := range []string{"encode", "retrieve", "rerank"} {
		pool := map[string]string{"encode": "encoders", "retrieve": "retrievers", "rerank": "rerankers"}[stage]
		call := backend.Call{Server: s.Servers(pool)[0].Address, Request: id, Stage: stage, Attempt: 1}
		result, _, err := c.Stage(ctx, call, protocol.StageCall{Input: input, Previous: previous})
		if err != nil {
			return err
		}
		previous = result
	}
	call := backend.Call{Server: s.Servers("language-models")[0].Address, Request: id, Stage: "generate", Attempt: 1}
	stream, _, err := c.Complete(ctx, call, protocol.Completion{Model: "colour-guide", Prompt: string(previous) + "\nQuestion: " + input})
	if err != nil {
		return err
	}
	defer stream.Close()
	for _, err := range stream.Pieces() {
		if err != nil {
			return err
		}
	}
	return nil
}
