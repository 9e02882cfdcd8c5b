// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package backend_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/backend"
)

func TestLoadHeader(t *testing.T) {
	good := backend.Load{Instance: "e7", Running: 3, Waiting: 2, Slots: 16, Leaving: true}
	cases := []struct {
		name   string
		header string
		want   backend.Load
		known  bool
	}{
		{"good", good.Marshal(), good, true},
		{"an empty dictionary", "", backend.Load{}, true},
		{"no dictionary", "running=;;", backend.Load{}, false},
		{"negative", "running=-5, slots=4", backend.Load{Slots: 4}, true},
		{"huge", "waiting=999999999999", backend.Load{Waiting: 1 << 20}, true},
		{"another type", `running="many", leaving=1`, backend.Load{}, true},
		{"a long instance", `instance="` + strings.Repeat("x", 500) + `"`, backend.Load{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, known := backend.ParseLoad(http.Header{backend.HeaderLoad: {c.header}})
			assert.Equal(t, known, c.known)
			assert.Equal(t, got, c.want)
		})
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add(backend.Load{Instance: "e7", Running: 3, Slots: 16}.Marshal())
	f.Fuzz(func(t *testing.T, header string) {
		l, known := backend.ParseLoad(http.Header{backend.HeaderLoad: {header}})
		if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || !known && l != (backend.Load{}) {
			t.Errorf("got %+v, %v from %q", l, known, header)
		}
	})
}
