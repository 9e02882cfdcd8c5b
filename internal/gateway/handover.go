// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/wingvale/wingvale/internal/handover"
)

// maxHandovers is the number of requests that a host hands over at once.
const maxHandovers = 1024

// newHandover returns the client that hands requests over to other hosts.
func (n *Node) newHandover() *handover.Client {
	enabled := n.settings.HandOver.Enabled(true)
	return handover.New(handover.Options{
		Isolated: func() bool { return enabled && n.Isolated() },
		Targets:  func() []handover.Target { return n.hostCache.current().targets },
		HTTP:     n.peers,
		Log:      n.log,
		Scope:    n.options.Scope.SubScope("handover"),
		Random:   rand.New(rand.NewPCG(n.options.Seed, uint64(n.settings.Peer.Port()))),
		Limit:    maxHandovers,
	})
}

// handoverHandler returns the handler of the requests that other hosts hand over.
func (n *Node) handoverHandler() http.Handler {
	return handover.NewHandler(handover.HandlerOptions{
		Isolated: n.Isolated,
		Serve:    n.serve,
		Log:      n.log,
		Scope:    n.options.Scope.SubScope("handover"),
	})
}
