// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

type requestCommand struct {
	format
	To           []string      `required:"" help:"Caller addresses of nodes to ask first."`
	Workspace    string        `required:"" help:"The workspace."`
	Pipeline     string        `required:"" help:"The pipeline template."`
	Deadline     time.Duration `help:"How long to wait; the workspace's own limit applies too."`
	Unrepeatable bool          `help:"Run the request at most once."`
	Zone         string        `help:"The caller's availability zone."`
	Input        string        `arg:"" help:"The input; - reads it from standard input."`
}

// Run sends the request and prints the answer.
func (c requestCommand) Run(o *output) error {
	to, err := parseAddresses(c.To)
	if err != nil {
		return err
	}
	spec := request.Spec{
		Workspace:    c.Workspace,
		Pipeline:     c.Pipeline,
		Input:        c.Input,
		Deadline:     pipeline.Duration(c.Deadline),
		Unrepeatable: c.Unrepeatable,
	}
	if c.Input == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, request.MaxInputBytes+1))
		if err != nil {
			return err
		}
		spec.Input = string(data)
	}
	if err := spec.Check(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	caller := client.New(client.Options{Bootstrap: to, Zone: c.Zone})
	observer := client.Observer{}
	if !c.json() {
		observer = client.Observer{
			Text:    func(text string) { o.printf("%s", text) },
			Restart: func() { o.printf("\n[begun anew]\n") },
		}
	}
	answer, err := caller.Stream(context.Background(), spec, observer)
	if err != nil {
		return o.reportFailure(c.format, answer, err)
	}
	if c.json() {
		return o.printJSON(answer)
	}
	o.printf("\n")
	return nil
}

// reportFailure prints a failed request as JSON if f asks for it, and returns the error to show.
func (o *output) reportFailure(f format, answer client.Answer, err error) error {
	if f.json() {
		failed := request.NewFailed(err)
		failed.Costs = answer.Costs
		_ = o.printJSON(failed)
	}
	e := verdict.As(err)
	if e.RetryAfter > 0 {
		return fmt.Errorf("%w; retry after %v", err, e.RetryAfter.Round(time.Millisecond))
	}
	return err
}

type entriesCommand struct {
	format
	To   []string `required:"" help:"Caller addresses of nodes to ask."`
	Zone string   `help:"The caller's availability zone."`
}

// Run asks a node for addresses and prints them.
func (c entriesCommand) Run(o *output) error {
	to, err := parseAddresses(c.To)
	if err != nil {
		return err
	}
	caller := client.New(client.Options{Bootstrap: to, Zone: c.Zone})
	a, err := caller.FetchAddresses(context.Background(), to[0])
	if err != nil {
		return err
	}
	if c.json() {
		return o.printJSON(a)
	}
	for _, address := range a.Addresses {
		o.printf("%s\n", address)
	}
	o.printf("hold for %v; configuration revision %d\n", a.TTL.Std(), a.Revision)
	return nil
}

type dumpCommand struct {
	Peer string `arg:"" help:"The node's peer address."`
}

const (
	maxDumpBytes = 64 << 20
	dumpTimeout  = 10 * time.Second
)

// Run fetches a node's state and prints it as JSON.
func (c dumpCommand) Run(o *output) error {
	if _, err := netip.ParseAddrPort(c.Peer); err != nil {
		return fmt.Errorf("%w: %q: want an IP address and a port", errUsage, c.Peer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Peer+"/dump", http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %s", c.Peer, strings.ToLower(response.Status))
	}
	v, err := wire.ReadLenient[any](response.Body, maxDumpBytes)
	if err != nil {
		return err
	}
	return o.printJSON(v)
}
