// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/placing"
)

// sharedTokens returns the number of tokens of the prompt without its last part.
func (r *Request) sharedTokens() int {
	total := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		total += r.Parts[i].Tokens
	}
	return total
}

// promptTokens returns the number of tokens of the whole prompt.
func (r *Request) promptTokens() int {
	total := 0
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return max(total, r.TokensIn)
}

// placingPrompt returns the properties of the request that matter for the choice of an
// engine.
func (r *Request) placingPrompt() placing.Prompt {
	p := placing.Prompt{SharedTokens: r.sharedTokens(), OwnTokens: r.promptTokens() - r.sharedTokens()}
	if len(r.Parts) < 2 {
		return p
	}
	p.FirstTokens = r.Parts[0].Tokens
	var d xxhash.Digest
	d.Reset()
	for i, part := range r.Parts[:len(r.Parts)-1] {
		_, _ = d.WriteString(part.ID)
		_, _ = d.WriteString("/")
		if i == 0 {
			p.First = d.Sum64()
		}
	}
	p.Shared = d.Sum64()
	return p
}

// idleFirstEventTime returns the expected time to the first event at an idle engine that
// has the shared parts cached.
func idleFirstEventTime(r *Request) time.Duration {
	shared := r.sharedTokens()
	return placing.ReadTime(shared, r.promptTokens()-shared) + placing.Overhead
}
