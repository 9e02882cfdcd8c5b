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

const sampleSize = 2000

// TestAddedLatency compares the latency of a request of four stages through a node with that of
// the same calls made directly to the stand-ins, over loopback and in real time.
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
	viaNode := measureLatencies(t, func() error {
		_, err := caller.Do(ctx, spec)
		return err
	})
	backendClient := backend.New((&net.Dialer{}).DialContext)
	direct := measureLatencies(t, func() error { return callStagesDirectly(ctx, s, backendClient, spec.Input) })
	for _, percentile := range []int{50, 99} {
		nodeLatency, directLatency := viaNode[len(viaNode)*percentile/100], direct[len(direct)*percentile/100]
		t.Logf("p%d: through a node %v, direct %v, added %v, %v per stage", percentile, nodeLatency, directLatency, nodeLatency-directLatency, (nodeLatency-directLatency)/4)
	}
	start, startProcessorTime := time.Now(), processorTime()
	measureLatencies(t, func() error {
		_, err := caller.Do(ctx, spec)
		return err
	})
	t.Logf("one caller: %.0f requests per second, %v of processor time per request including stand-ins and caller",
		sampleSize/time.Since(start).Seconds(), (processorTime()-startProcessorTime)/sampleSize)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureLatencies(t *testing.T, do func() error) []time.Duration {
	t.Helper()
	var latencies []time.Duration
	for range sampleSize {
		start := time.Now()
		assert.NilError(t, do())
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	return latencies
}

func callStagesDirectly(ctx context.Context, s *harness.Site, backendClient *backend.Client, input string) error {
	id := request.IssueID(request.Key{}, s.Nodes()[0].Caller, 1, 1, 0)
	var previous json.RawMessage
	for _, stage := range []string{"encode", "retrieve", "rerank"} {
		pool := map[string]string{"encode": "encoders", "retrieve": "retrievers", "rerank": "rerankers"}[stage]
		call := backend.Call{Server: s.Servers(pool)[0].Address, Request: id, Stage: stage, Attempt: 1}
		result, _, err := backendClient.Stage(ctx, call, protocol.StageCall{Input: input, Previous: previous})
		if err != nil {
			return err
		}
		previous = result
	}
	call := backend.Call{Server: s.Servers("language-models")[0].Address, Request: id, Stage: "generate", Attempt: 1}
	stream, _, err := backendClient.Complete(ctx, call, protocol.Completion{Model: "colour-guide", Prompt: string(previous) + "\nQuestion: " + input})
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
