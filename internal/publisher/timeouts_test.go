// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/publisher"
)

var readTimeouts = publisher.ReadTimeouts{First: 500 * time.Millisecond, Stall: time.Second, Whole: 30 * time.Second}

// slowly returns a handler that answers in parts, each after a pause.
func slowly(pauses ...time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, pause := range pauses {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against a total time limit: seven hosts discarded a configuration that had been arriving
// for a second and a half, and read it again from the start, since a response had 2.6 s in all and
// their links were busy.
func TestResponseWithProgressIsNotAborted(t *testing.T) {
	const part = 900 * time.Millisecond
	cases := []struct {
		name   string
		pauses []time.Duration
		want   error
	}{
		{"at once", []time.Duration{0}, nil},
		{"slow but steady", []time.Duration{400 * time.Millisecond, part, part, part, part, part, part, part, part}, nil},
		{"late at the start", []time.Duration{600 * time.Millisecond}, publisher.ErrStalled},
		{"stalled on the way", []time.Duration{0, part, 1100 * time.Millisecond}, publisher.ErrStalled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New(nil)
				address := netip.MustParseAddrPort("10.0.0.1:80")
				l, err := network.Listen(address)
				assert.NilError(t, err)
				server := &http.Server{Handler: slowly(c.pauses...), ReadHeaderTimeout: time.Second}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				client := &http.Client{Transport: &http.Transport{DialContext: network.Dialer(netip.MustParseAddr("10.0.0.2"))}}
				defer client.CloseIdleConnections()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String(), http.NoBody)
				assert.NilError(t, err)
				got := 0
				err = readTimeouts.Do(client, r, func(response *http.Response) error {
					data, err := io.ReadAll(response.Body)
					got = len(data)
					return err
				})
				if c.want != nil {
					assert.ErrorIs(t, err, c.want)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, got, 4*len(c.pauses))
			})
		})
	}
}
