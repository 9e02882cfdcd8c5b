// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

var clientAddress = netip.MustParseAddr("10.200.0.1")

// withSite runs do against a site of one node.
func withSite(t *testing.T, do func(t *testing.T, s *harness.Site, dial func() (net.Conn, error))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		s, err := harness.New(harness.Options{
			Site:          sites.Farbwerk(),
			Nodes:         1,
			Network:       harness.Memory{Network: network},
			Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: 5 * time.Millisecond} },
			TokenInterval: 10 * time.Millisecond,
			Settings:      func(s *settings.Settings) { s.MaxCallers = 40 },
		})
		assert.NilError(t, err)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		assert.NilError(t, s.AwaitReady(ctx))
		do(t, s, func() (net.Conn, error) {
			return network.Dialer(clientAddress)(ctx, "tcp", s.Nodes()[0].Caller.String())
		})
	})
}

const requestJSON = `{"workspace":"paint-shops-north","pipeline":"recipe-explanation","input":"How do I mix alpine grey? 20 times","deadline":"2s"}`

func post(conn net.Conn, body string) error {
	_, err := fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

func assertAnswers(t *testing.T, s *harness.Site) {
	t.Helper()
	spec := request.Spec{Workspace: "decorators", Pipeline: "catalogue-lookup", Input: "grey"}
	_, err := s.Client("").Do(t.Context(), spec)
	assert.NilError(t, err)
}

func TestConnectionFloodDoesNotBlockOtherCallers(t *testing.T) {
	withSite(t, func(t *testing.T, s *harness.Site, dial func() (net.Conn, error)) {
		var open []net.Conn
		for range 100 {
			conn, err := dial()
			assert.NilError(t, err)
			open = append(open, conn)
		}
		assertAnswers(t, s)
		for _, conn := range open {
			_ = conn.Close()
		}
	})
}

func TestStalledReaderDoesNotAffectOtherCallers(t *testing.T) {
	withSite(t, func(t *testing.T, s *harness.Site, dial func() (net.Conn, error)) {
		conn, err := dial()
		assert.NilError(t, err)
		assert.NilError(t, post(conn, requestJSON))
		time.Sleep(500 * time.Millisecond)
		assertAnswers(t, s)
		time.Sleep(15 * time.Second)
		assert.Equal(t, s.Nodes()[0].Dump().Running, int64(0), "the run does not wait for its reader")
		_ = conn.Close()
	})
}

func TestKeptAliveConnectionServesAfterIdlePeriod(t *testing.T) {
	withSite(t, func(t *testing.T, _ *harness.Site, dial func() (net.Conn, error)) {
		conn, err := dial()
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		for range 3 {
			assert.NilError(t, post(conn, strings.Replace(requestJSON, " 20 times", "", 1)))
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(text), "event: done"), "got %s", text)
			// Longer than the write deadline of a stream, shorter than the idle timeout.
			time.Sleep(30 * time.Second)
			_, err = io.WriteString(conn, "GET /v1/addresses HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(t, err)
			response, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
		}
		_ = conn.Close()
	})
}

func TestInvalidInputIsRefusedAsNotRun(t *testing.T) {
	const tooLarge = "too_large"
	cases := []struct{ name, body, want string }{
		{"no JSON", "{", "bad_request"},
		{"an unknown field", `{"workspace":"a","pipeline":"b","tea":1}`, "tea"},
		{"two values", requestJSON + requestJSON, "bad_request"},
		{"a huge input", `{"workspace":"a","pipeline":"b","input":"` + strings.Repeat("x", request.MaxInputBytes+1) + `"}`, "262144"},
		{"a huge body", strings.Repeat(" ", request.MaxBodyBytes+1), tooLarge},
		{"a negative deadline", `{"workspace":"a","pipeline":"b","deadline":"-1s"}`, "negative"},
		{"an unrepeatable resume", `{"workspace":"a","pipeline":"b","unrepeatable":true,"resume":{"attempt":1}}`, "cannot resume"},
		{"a deep nest", `{"workspace":` + strings.Repeat("[", 20000), "bad_request"},
	}
	withSite(t, func(t *testing.T, s *harness.Site, _ func() (net.Conn, error)) {
		rt := s.Transport()
		for _, c := range cases {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Nodes()[0].Caller.String()+"/v1/requests", strings.NewReader(c.body))
			assert.NilError(t, err)
			response, err := rt.RoundTrip(r)
			assert.NilError(t, err, c.name)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err, c.name)
			status := http.StatusBadRequest
			if c.want == tooLarge {
				status = http.StatusRequestEntityTooLarge
			}
			assert.Equal(t, response.StatusCode, status, "%s: %s", c.name, text)
			assert.Assert(t, strings.Contains(string(text), `"verdict":"not_run"`), "%s: %s", c.name, text)
			assert.Assert(t, strings.Contains(string(text), c.want), "%s: got %s, want %s", c.name, text, c.want)
		}
		assert.Equal(t, s.Nodes()[0].Dump().Requests.Kept, 0)
	})
}

// TestResumeAfterLastStageIsRefused guards against an empty answer that looks complete: no
// stage would be left to run.
func TestResumeAfterLastStageIsRefused(t *testing.T) {
	withSite(t, func(t *testing.T, s *harness.Site, _ func() (net.Conn, error)) {
		spec := request.Spec{Workspace: "decorators", Pipeline: "catalogue-lookup", Input: "grey"}
		spec.Resume = &request.Checkpoint{Attempt: 1, Finished: "lookup", Result: []byte(`"x"`)}
		_, err := s.Client("").Do(t.Context(), spec)
		assert.ErrorContains(t, err, "no stage follows")
		assert.Equal(t, verdict.Of(err), verdict.Unknown)

		body := strings.NewReader(`{"workspace":"decorators","pipeline":"catalogue-lookup","input":"grey"}`)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Nodes()[0].Caller.String()+"/v1/requests", body)
		assert.NilError(t, err)
		response, err := s.Transport().RoundTrip(r)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(text), "event: checkpoint"), "got %s", text)
	})
}

func TestReattachGetStatusAndCancel(t *testing.T) {
	withSite(t, func(t *testing.T, s *harness.Site, _ func() (net.Conn, error)) {
		caller := s.Client("")
		spec := request.Spec{Workspace: "head-office", Pipeline: "season-review", Input: "grey 50 times"}
		ended := make(chan error, 1)
		go func() {
			_, err := caller.Do(t.Context(), spec)
			ended <- err
		}()
		time.Sleep(300 * time.Millisecond)
		id := s.Nodes()[0].Dump().Requests.Running[0].ID
		status, err := caller.Status(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, status.State, request.StateRunning)
		url := fmt.Sprintf("http://%s/v1/requests/%s?attempt=1&from=%d", s.Nodes()[0].Caller, id, status.Chunks)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
		assert.NilError(t, err)
		response, err := s.Transport().RoundTrip(r)
		assert.NilError(t, err)
		status, err = caller.Cancel(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, status.State, request.StateFailed)
		assert.ErrorContains(t, <-ended, "cancelled")
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(text), `"reason":"cancelled"`), "got %s", text)
		assert.Assert(t, !strings.Contains(string(text), `"seq":0,`), "the first chunks are not sent again")
	})
}
