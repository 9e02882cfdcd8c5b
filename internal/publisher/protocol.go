// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"fmt"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/pipeline"
)

// Space is one set of keys of the platform.
type Space string

const (
	// SpaceConfiguration has templates, workspaces and models.
	SpaceConfiguration Space = "configuration"
	// SpaceHosts has the host list, with one key per host.
	SpaceHosts Space = "hosts"
)

// Paths of the platform's protocol; %s stands for the space.
const (
	PathValues = "/v1/spaces/%s/values"
	PathWatch  = "/v1/spaces/%s/watch"
)

// Values is the response to a read, with all keys as of one revision, or to a watch, with all
// keys that changed after the requested revision.
type Values struct {
	// Era counts how often the service has lost writes. Revisions of different eras are not
	// comparable. It is 0 for a service that does not state it.
	Era uint64 `json:"era,omitempty"`
	// Revision is the revision of the service as of this response.
	Revision uint64 `json:"revision"`
	Values   []Item `json:"values"`
}

// Item is the latest revision of one key. Value is the text as published.
type Item struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Sequence is published.Entry.Sequence; 0 if the value has none.
	Sequence uint64 `json:"sequence,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	Value    string `json:"value,omitempty"`
}

// Position returns the position of the service as of this response.
func (v Values) Position() published.Position {
	return published.Position{Era: v.Era, Revision: v.Revision}
}

// Listing returns the response to a read of all keys as a listing for a store.
func (v Values) Listing() published.Listing {
	return published.Listing{Position: v.Position(), Entries: v.Entries()}
}

// Check returns an error if the response has more keys than a store accepts.
func (v Values) Check() error {
	if len(v.Values) > published.MaxKeys {
		return fmt.Errorf("publisher: %d keys, at most %d are allowed", len(v.Values), published.MaxKeys)
	}
	return nil
}

// Entries returns the items as entries of a store. It omits items that are newer than the revision
// of the response, which would be a contradiction by the service. Items that are too large have no data, so that they
// are rejected like other invalid values, and the rest comes into force.
func (v Values) Entries() []published.Entry {
	entries := make([]published.Entry, 0, len(v.Values))
	for _, i := range v.Values {
		if i.Revision > v.Revision {
			continue
		}
		e := published.Entry{Key: i.Key, Era: v.Era, Revision: i.Revision, Removed: i.Removed}
		if !i.Removed {
			e.Sequence = i.Sequence
			if len(i.Value) <= pipeline.MaxValueBytes {
				e.Data = []byte(i.Value)
			}
		}
		entries = append(entries, e)
	}
	return entries
}
