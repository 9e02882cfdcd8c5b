// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math/rand/v2"

	"github.com/wingvale/wingvale/internal/notice"
)

// noticesStream keeps the chance by which rests end from that of the other parts.
const noticesStream = 1 << 32

// newNotices returns what is known of backend servers by their own words.
func (n *Node) newNotices() *notice.Book {
	return notice.NewBook(notice.Options{
		Boot:   n.options.Boot,
		Random: rand.New(rand.NewPCG(n.options.Seed, noticesStream|uint64(n.settings.Callers.Port()))),
		Log:    n.log,
		Scope:  n.options.Scope,
		Leaves: func(notice.Server, notice.Source) {},
	})
}
