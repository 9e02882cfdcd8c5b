// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wingvale/wingvale/internal/delta"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/pipeline"
)

const (
	// partBytes is the size of the parts of a large entry: 26 ms on a link of 10 Mbit/s, so that
	// requests and heartbeats get through between parts.
	partBytes = 32 << 10
	// linkShare is the maximum share of the host's link that the transfer of entries uses, in
	// each direction.
	linkShare = 0.5
	// maxRestarts bounds how often a source may change the version during one transfer.
	maxRestarts = 3
	// maxSources bounds the hosts that a pull remembers as having the entry.
	maxSources = 16
)

var (
	errChanging = errors.New("peer: entry kept changing during the transfer")
	errDigest   = errors.New("peer: entry does not match its advertised digest")
	errMissing  = errors.New("peer: peer no longer has the data, or sent an invalid reply")
)

// pullBuckets are the histogram buckets of the time from the first advertisement of a value to
// its arrival: 20 ms to 15 s.
var pullBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.6, 15)

// newLimiter returns a limiter that paces entries to a share of a link of so many bytes a second;
// 0 means no limit.
func newLimiter(link float64) *rate.Limiter {
	if link <= 0 {
		return rate.NewLimiter(rate.Inf, partBytes)
	}
	return rate.NewLimiter(rate.Limit(linkShare*link), partBytes)
}

// pulls tracks the entries that this node is requesting, each from one host at a time. It is safe
// for concurrent use.
type pulls struct {
	mu      sync.Mutex
	running map[pullKey]*pull
	// fetching has the small entries that are being fetched.
	fetching map[pullKey]bool
	// wg counts the running pulls.
	wg sync.WaitGroup
}

type pullKey struct {
	space peerpb.Space
	key   string
}

func newPulls() *pulls {
	return &pulls{running: make(map[pullKey]*pull), fetching: make(map[pullKey]bool)}
}

// stop cancels the pulls and waits for them. No pull starts once cancel has been called.
func (p *pulls) stop(cancel context.CancelFunc) {
	p.mu.Lock()
	cancel()
	p.mu.Unlock()
	p.wg.Wait()
}

// pull is the transfer of one large entry.
type pull struct {
	pullKey
	// advertisedAt is when this node first learned of the entry.
	advertisedAt time.Time
	// sources are the hosts that advertised the entry, each once, the most recent last. The
	// last is asked first, since it was alive most recently.
	sources []source
	done    chan struct{}
}

type source struct {
	peer    netip.AddrPort
	version published.Version
}

// startPull pulls a version of a large entry that a peer advertised. It returns the running pull,
// or nil if the node already has the version.
func (g *Gossip) startPull(space peerpb.Space, key string, version published.Version, peer netip.AddrPort) *pull {
	store, err := g.options.Spaces.storeFor(space)
	if err != nil || !store.Lacks(key, version) {
		return nil
	}
	g.pulls.mu.Lock()
	defer g.pulls.mu.Unlock()
	if g.ctx.Err() != nil {
		return nil
	}
	id := pullKey{space: space, key: key}
	from := source{peer: peer, version: version}
	if p := g.pulls.running[id]; p != nil {
		p.addSource(from)
		return p
	}
	p := &pull{pullKey: id, advertisedAt: time.Now(), sources: []source{from}, done: make(chan struct{})}
	g.pulls.running[id] = p
	g.pulls.wg.Go(func() { g.runPull(p, store) })
	return p
}

// addSource adds a host that has the entry, in place of an earlier advertisement by that host.
func (p *pull) addSource(from source) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool { return s.peer == from.peer })
	p.sources = append(p.sources, from)
	p.sources = p.sources[max(len(p.sources)-maxSources, 0):]
}

// runPull asks the sources one after the other until the node has every version that they
// advertised, or no source remains.
func (g *Gossip) runPull(p *pull, store Store) {
	defer close(p.done)
	for {
		from, ok := g.nextSource(p, store)
		if !ok {
			return
		}
		startedAt := time.Now()
		entry, size, err := g.transfer(g.ctx, p.pullKey, store, from.peer)
		if err != nil {
			g.options.Scope.Counter("pulls_failed").Inc(1)
			g.options.Log.WithError(err).WithField("peer", from.peer).WithField("key", p.key).Info("cannot pull published value from peer")
			continue
		}
		g.options.Scope.Counter("pulls").Inc(1)
		g.options.Scope.Counter("pulled_bytes").Inc(int64(size))
		g.options.Scope.Histogram("pull_seconds", pullBuckets).RecordDuration(time.Since(p.advertisedAt))
		g.options.Log.WithField("peer", from.peer).WithField("key", p.key).WithField("revision", entry.Revision).
			WithField("bytes", len(entry.Data)).WithField("sent_bytes", size).WithField("took_ms", time.Since(startedAt).Milliseconds()).
			WithField("known_ms", time.Since(p.advertisedAt).Milliseconds()).Info("pulled published value from peer")
		g.handleAccepted(p.space, store.OfferRelayed(entry))
	}
}

// nextSource removes and returns the next source of the pull. If none remains the pull is over.
func (g *Gossip) nextSource(p *pull, store Store) (source, bool) {
	g.pulls.mu.Lock()
	defer g.pulls.mu.Unlock()
	for len(p.sources) > 0 && g.ctx.Err() == nil {
		last := len(p.sources) - 1
		from := p.sources[last]
		p.sources = p.sources[:last]
		if store.Lacks(p.key, from.version) {
			return from, true
		}
	}
	delete(g.pulls.running, p.pullKey)
	return source{}, false
}

// transfer reads a large entry from a peer part by part. It returns the entry and the number of
// bytes that were sent for it. It starts over if the peer switches to another version, or no
// longer has the base of the delta.
func (g *Gossip) transfer(ctx context.Context, id pullKey, store Store, peer netip.AddrPort) (published.Entry, int, error) {
	base, _ := store.Entry(id.key)
	request := &peerpb.PartRequest{Space: id.space, Key: id.key, Limit: partBytes}
	if len(base.Data) > 0 {
		request.Base = versionMessage(id.key, base.Version())
	}
	var first *peerpb.PartReply
	var encoded []byte
	sent, restarts := 0, 0
	for {
		reply, err := g.fetchPart(ctx, peer, request)
		if err != nil {
			return published.Entry{}, sent, err
		}
		sent += len(reply.GetData())
		if first != nil && !continues(first, reply) {
			if restarts++; restarts > maxRestarts {
				return published.Entry{}, sent, errChanging
			}
			first, encoded = nil, nil
			request.Version, request.Offset = nil, 0
			continue
		}
		if first == nil {
			first = reply
			request.Version = reply.GetVersion()
		}
		encoded = append(encoded, reply.GetData()...)
		request.Offset = uint64(len(encoded))
		if uint64(len(encoded)) >= first.GetSize() || len(reply.GetData()) == 0 {
			break
		}
	}
	if !first.GetDiffers() {
		base.Data = nil
	}
	entry, err := decodeEntry(id.key, base.Data, encoded, decodeVersion(first.GetVersion()))
	return entry, sent, err
}

// continues reports whether a part belongs to the same encoding as an earlier one.
func continues(first, next *peerpb.PartReply) bool {
	return decodeVersion(first.GetVersion()).Compare(decodeVersion(next.GetVersion())) == 0 &&
		first.GetDiffers() == next.GetDiffers() && first.GetSize() == next.GetSize()
}

// fetchPart requests one part, within the share of the link for entries.
func (g *Gossip) fetchPart(ctx context.Context, peer netip.AddrPort, request *peerpb.PartRequest) (*peerpb.PartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.client(peer).Part(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.GetVersion() == nil || reply.GetSize() > maxMessageSize || len(reply.GetData()) > partBytes {
		return nil, errMissing
	}
	return reply, pace(g.ctx, g.receiveLimiter, len(reply.GetData()))
}

func decodeEntry(key string, base, encoded []byte, version published.Version) (published.Entry, error) {
	data, err := delta.Decode(base, encoded, pipeline.MaxValueBytes)
	if err != nil {
		return published.Entry{}, fmt.Errorf("peer: decode value of key %.80q: %w", key, err)
	}
	entry := published.Entry{Key: key, Era: version.Era, Revision: version.Revision, Sequence: version.Sequence, Data: data}
	if entry.Digest() != version.Digest {
		return published.Entry{}, errDigest
	}
	return entry, nil
}

// claim returns the small entries that are not being fetched yet. The caller fetches them and
// then calls release.
func (p *pulls) claim(space peerpb.Space, keys []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var claimed []string
	for _, key := range keys {
		id := pullKey{space: space, key: key}
		if !p.fetching[id] {
			p.fetching[id] = true
			claimed = append(claimed, key)
		}
	}
	return claimed
}

func (p *pulls) release(space peerpb.Space, keys []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		delete(p.fetching, pullKey{space: space, key: key})
	}
}

// pace waits until the limiter allows so many bytes.
func pace(ctx context.Context, l *rate.Limiter, bytes int) error {
	for bytes > 0 {
		if err := l.WaitN(ctx, min(bytes, partBytes)); err != nil {
			return err
		}
		bytes -= partBytes
	}
	return nil
}
