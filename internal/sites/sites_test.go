// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package sites_test

import (
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/sites"
)

func TestSitesHaveValuesPoolsAndQuestions(t *testing.T) {
	for _, s := range []sites.Site{sites.ArhivaClimei(), sites.Farbwerk()} {
		named, err := sites.ByName(s.Name)
		assert.NilError(t, err)
		assert.Equal(t, named.Name, s.Name)
		values, err := s.Values()
		assert.NilError(t, err)
		assert.Assert(t, len(values) > 3, "%s publishes %d values", s.Name, len(values))
		assert.Assert(t, len(s.Pools) > 0 && len(s.Questions) > 0)
	}
	_, err := sites.ByName("nowhere")
	assert.ErrorContains(t, err, "nowhere")
}

func TestReadReturnsValuesBelowFolder(t *testing.T) {
	files := fstest.MapFS{
		"site/templates/a.json": {Data: []byte("1")}, "site/notes.txt": {Data: []byte("x")}, "other/b.json": {Data: []byte("2")},
	}
	values, err := sites.ReadValues(files, "site")
	assert.NilError(t, err)
	assert.DeepEqual(t, values, map[string]string{"templates/a": "1"})
	_, err = sites.ReadValues(files, "missing")
	assert.Assert(t, err != nil)
}
