// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
)

// historySource has made one change at each revision up to revision, and discarded those up to discarded.
type historySource struct {
	publisher.Source
	revision, discarded uint64
	calls               int
}

func (s *historySource) Poll(_ context.Context, _ publisher.Space, after published.Position) (publisher.Values, error) {
	s.calls++
	if after.Revision < s.discarded {
		return publisher.Values{}, publisher.ErrCompacted
	}
	values := publisher.Values{Revision: s.revision}
	for r := after.Revision + 1; r <= s.revision; r++ {
		values.Values = append(values.Values, publisher.Item{Key: fmt.Sprint("k", r), Revision: r})
	}
	return values, nil
}

func TestHistoryIsReadAsFarBackAsItGoes(t *testing.T) {
	for _, c := range []struct{ revision, discarded uint64 }{{0, 0}, {1, 0}, {1, 1}, {82, 0}, {82, 40}, {82, 81}, {82, 82}, {100_000, 99_900}} {
		source := &historySource{revision: c.revision, discarded: c.discarded}
		history, err := publisher.ReadHistory(t.Context(), source, publisher.SpaceHosts, published.Position{Revision: c.revision})
		assert.NilError(t, err)
		assert.Equal(t, history.After, c.discarded, "%v", c)
		assert.Equal(t, uint64(len(history.Values.Values)), c.revision-c.discarded, "%v", c)
		assert.Check(t, source.calls <= 20, "%d calls for %v", source.calls, c)
	}
}
