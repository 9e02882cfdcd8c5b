// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package logging_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/logging"
)

// blockedWriter blocks writes until gate is closed.
type blockedWriter struct {
	mu   sync.Mutex
	gate chan struct{}
	got  bytes.Buffer
}

func (r *blockedWriter) Write(line []byte) (int, error) {
	<-r.gate
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(line)
}

var dropped = regexp.MustCompile(`"msg":"log lines dropped","lines":(\d+)`)

// reportedDrops sums the dropped lines reported in the output.
func reportedDrops(t *testing.T, lines string) int64 {
	t.Helper()
	var totalDropped int64
	for _, m := range dropped.FindAllStringSubmatch(lines, -1) {
		n, err := strconv.ParseInt(m[1], 10, 64)
		assert.NilError(t, err)
		totalDropped += n
	}
	return totalDropped
}

func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &blockedWriter{gate: make(chan struct{})}
		w := logging.NewWriter(r, 8)
		for range 1000 {
			n, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 5)
		}
		synctest.Wait()
		assert.Assert(t, w.Dropped() >= 980, "dropped %d", w.Dropped())
		close(r.gate)
		w.Close()
		<-w.Done()
		got := r.got.String()
		assert.Equal(t, int64(strings.Count(got, "line\n"))+w.Dropped(), int64(1000))
		assert.Equal(t, reportedDrops(t, got), w.Dropped(), "all dropped lines are reported: %q", got)
		_, err := w.Write([]byte("after the end"))
		assert.NilError(t, err)
	})
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logging.NewWriter(&out, 8)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			assert.NilError(t, err)
		}
		w.Close()
		<-w.Done()
		assert.Equal(t, out.String(), "a\nb\nc\n")
		assert.Equal(t, w.Dropped(), int64(0))
	})
}
