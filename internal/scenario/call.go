// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// call is a request that a script has sent. The other fields are set once done is closed, except
// for spec.
type call struct {
	done   chan struct{}
	spec   request.Spec
	answer client.Answer
	err    error
}

// send sends a request in the background:
// send NAME WORKSPACE PIPELINE INPUT [unrepeatable] [deadline=TIME].
func (env *Environment) send(args []string) error {
	if len(args) < 4 {
		return errUsage
	}
	spec := request.Spec{Workspace: args[1], Pipeline: args[2], Input: args[3]}
	for _, a := range args[4:] {
		if text, ok := strings.CutPrefix(a, "deadline="); ok {
			d, err := time.ParseDuration(text)
			if err != nil {
				return err
			}
			spec.Deadline = pipeline.Duration(d)
			continue
		}
		if a != "unrepeatable" {
			return errUsage
		}
		spec.Unrepeatable = true
	}
	c := &call{done: make(chan struct{}), spec: spec}
	env.mu.Lock()
	env.calls[args[0]] = c
	env.mu.Unlock()
	caller := env.site.Client(env.site.Nodes()[0].Zone)
	go func() {
		defer close(c.done)
		c.answer, c.err = caller.Do(env.ctx, spec)
	}()
	return nil
}

// await waits for a request and checks its outcome: await NAME answered, or
// await NAME VERDICT REASON. The answer to a question must be exactly the expected text.
func (env *Environment) await(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	env.mu.Lock()
	c := env.calls[args[0]]
	env.mu.Unlock()
	if c == nil {
		return fmt.Errorf("no request named %s", args[0])
	}
	select {
	case <-c.done:
	case <-time.After(endTimeout):
		return fmt.Errorf("request %s has not ended after %v", args[0], endTimeout)
	}
	if args[1] == "answered" {
		return c.checkAnswer()
	}
	e := verdict.As(c.err)
	if e == nil {
		return fmt.Errorf("request %s was answered: %q", args[0], c.answer.Text)
	}
	got := e.Verdict.String() + " " + string(e.Reason)
	if want := strings.Join(args[1:], " "); got != want {
		return fmt.Errorf("got %s, want %s: %w", got, want, c.err)
	}
	return nil
}

func (c *call) checkAnswer() error {
	if c.err != nil {
		return c.err
	}
	if !strings.Contains(c.answer.Text, "[") {
		if !strings.Contains(c.answer.Text, c.answer.ID.String()) {
			return fmt.Errorf("receipt %q is for another request", c.answer.Text)
		}
		return nil
	}
	want, err := standin.ExpectedAnswer(sites.Farbwerk().Documents, c.spec.Input)
	if err != nil {
		return err
	}
	if c.answer.Text != want {
		return fmt.Errorf("got %q, want %q", c.answer.Text, want)
	}
	return nil
}

// arrivals checks how many calls the servers of a pool have started to run for a request:
// arrivals NAME POOL COUNT.
func (env *Environment) arrivals(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	env.mu.Lock()
	c := env.calls[args[0]]
	env.mu.Unlock()
	want, err := strconv.Atoi(args[2])
	if c == nil || err != nil {
		return errUsage
	}
	got := 0
	for _, s := range env.site.Servers(args[1]) {
		for _, a := range s.Arrivals() {
			if a.Input == c.spec.Input {
				got++
			}
		}
	}
	if got != want {
		return fmt.Errorf("got %d calls, want %d", got, want)
	}
	return nil
}
