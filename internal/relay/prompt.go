// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/placing"
)

// sharedTokens is the size of the prompt without its last part.
func (r *Request) sharedTokens() int {
	total := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		total += r.Parts[i].Tokens
	}
	return total
}

// tokens is the size of the whole prompt.
func (r *Request) tokens() int {
	total := 0
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return max(total, r.TokensIn)
}

// prompt returns what matters of the request for the choice of an engine.
func (r *Request) prompt() placing.Prompt {
	p := placing.Prompt{SharedTokens: r.sharedTokens(), OwnTokens: r.tokens() - r.sharedTokens()}
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

// expectedRead is how long the first event takes at an idle engine that has
// the shared parts.
func expectedRead(r *Request) time.Duration {
	shared := r.sharedTokens()
	return placing.ReadTime(shared, r.tokens()-shared) + placing.Overhead
}
