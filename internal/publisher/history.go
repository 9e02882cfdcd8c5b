// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"context"
	"errors"

	"github.com/wingvale/wingvale/internal/published"
)

// History is what a source still has of the changes of a space.
type History struct {
	// Values are the changes, the earliest first, and the position after the last of them.
	Values Values
	// After is the revision after which the changes came; 0 means that these are all that there ever were.
	After uint64
}

// ReadHistory returns the changes up to a position that the source still has. It finds out how far back they
// go by a number of calls that grows with the logarithm of the revision.
func ReadHistory(ctx context.Context, source Source, space Space, through published.Position) (History, error) {
	changesAfter := func(revision uint64) (Values, error) {
		return source.Poll(ctx, space, published.Position{Era: through.Era, Revision: revision})
	}
	all, err := changesAfter(0)
	if !errors.Is(err, ErrCompacted) {
		return History{Values: all}, err
	}
	// There is no history after the revision discarded, and found is that after kept.
	discarded, kept := uint64(0), through.Revision
	found, err := changesAfter(kept)
	if err != nil {
		return History{}, err
	}
	for kept-discarded > 1 {
		middle := discarded + (kept-discarded)/2
		values, err := changesAfter(middle)
		switch {
		case errors.Is(err, ErrCompacted):
			discarded = middle
		case err != nil:
			return History{}, err
		default:
			found, kept = values, middle
		}
	}
	return History{Values: found, After: kept}, nil
}
