// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package delta_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/delta"
)

// limit is larger than any value in these tests.
const limit = 16 << 20

type route struct {
	Name    string `json:"name"`
	Host    string `json:"hostname"`
	Prefix  string `json:"path_prefix"`
	Kind    string `json:"kind"`
	Timeout int    `json:"timeout_ms"`
	Service string `json:"service"`
}

// routes returns a configuration of count routes. A smaller configuration is a prefix of the
// list of a larger one.
func routes(t testing.TB, count int) []byte {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	word := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	list := make([]route, 0, count)
	for range count {
		list = append(list, route{
			Name: "r-" + word(), Host: "h" + word() + ".example", Prefix: "/" + word() + "/",
			Kind: "idempotent", Timeout: 3000, Service: "records",
		})
	}
	data, err := json.Marshal(map[string]any{"version": count, "routes": list})
	assert.NilError(t, err)
	return data
}

func TestDecodeReturnsEncodedValue(t *testing.T) {
	values := [][]byte{nil, []byte("a"), []byte("ab"), routes(t, 1), routes(t, 30), routes(t, 400)}
	for _, base := range values {
		for _, value := range values {
			encoded, err := delta.Encode(base, value)
			assert.NilError(t, err)
			got, err := delta.Decode(base, encoded, limit)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, value), "%d bytes against %d", len(value), len(base))
		}
	}
}

// A configuration that grows must not be sent whole, or it saturates small links for seconds.
func TestEncodedSizeIsProportionalToChange(t *testing.T) {
	for _, count := range []int{100, 1400, 4200, 6000} {
		base, value := routes(t, count), routes(t, count+10)
		encoded, err := delta.Encode(base, value)
		assert.NilError(t, err)
		added := len(value) - len(base)
		assert.Assert(t, len(encoded) < added+len(value)/200, "%d bytes for %d routes more of %d (%d bytes of %d)", len(encoded), 10, count, added, len(value))
	}
}

func TestDecodeNeedsBase(t *testing.T) {
	base, value := routes(t, 100), routes(t, 120)
	encoded, err := delta.Encode(base, value)
	assert.NilError(t, err)
	got, err := delta.Decode(nil, encoded, limit)
	assert.Assert(t, err != nil || !bytes.Equal(got, value))
}

func TestDecodeRejectsTooLargeValue(t *testing.T) {
	encoded, err := delta.Encode(nil, make([]byte, 1<<20))
	assert.NilError(t, err)
	_, err = delta.Decode(nil, encoded, 1000)
	assert.ErrorIs(t, err, delta.ErrTooLarge)
}

func FuzzDecode(f *testing.F) {
	base := []byte("some earlier value")
	encoded, err := delta.Encode(base, []byte("some later value"))
	assert.NilError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := delta.Decode(base, data, 1<<16)
		assert.Assert(t, err != nil || len(value) <= 1<<16)
	})
}

func BenchmarkEncode(b *testing.B) {
	base, value := routes(b, 2800), routes(b, 4200)
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := delta.Encode(base, value)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(encoded)), "bytes")
	}
}

func BenchmarkDecode(b *testing.B) {
	base, value := routes(b, 2800), routes(b, 4200)
	encoded, err := delta.Encode(base, value)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := delta.Decode(base, encoded, limit)
		assert.NilError(b, err)
	}
}
