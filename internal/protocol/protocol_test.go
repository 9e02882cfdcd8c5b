// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/protocol"
)

func TestParseLoadHeader(t *testing.T) {
	valid := protocol.Load{Instance: "e7", Running: 3, Waiting: 2, Slots: 16, Leaving: true}
	cases := []struct {
		name   string
		header string
		want   protocol.Load
		known  bool
	}{
		{"good", valid.Marshal(), valid, true},
		{"an empty dictionary", "", protocol.Load{}, true},
		{"no dictionary", "running=;;", protocol.Load{}, false},
		{"negative", "running=-5, slots=4", protocol.Load{Slots: 4}, true},
		{"huge", "waiting=999999999999", protocol.Load{Waiting: 1 << 20}, true},
		{"another type", `running="many", leaving=1`, protocol.Load{}, true},
		{"a long instance", `instance="` + strings.Repeat("x", 500) + `"`, protocol.Load{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, known := protocol.ParseLoad(http.Header{protocol.HeaderLoad: {c.header}})
			assert.Equal(t, known, c.known)
			assert.Equal(t, got, c.want)
		})
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add(protocol.Load{Instance: "e7", Running: 3, Slots: 16}.Marshal())
	f.Fuzz(func(t *testing.T, header string) {
		l, known := protocol.ParseLoad(http.Header{protocol.HeaderLoad: {header}})
		if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || !known && l != (protocol.Load{}) {
			t.Errorf("got %+v, %v from %q", l, known, header)
		}
	})
}
