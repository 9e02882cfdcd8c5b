// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/peerhttp"
	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

// maxStatedTime is the longest time in one RunReply that is accepted. No request is held that long.
const maxStatedTime = time.Hour

// Handler returns the path prefix and the handler of the RPCs from other hosts.
func (g *Group) Handler() (string, http.Handler) {
	server := stagepb.NewStagesServer(&service{g: g})
	return server.PathPrefix(), peerhttp.KeepAlive(server)
}

type service struct{ g *Group }

// Run executes pieces for another host. It never forwards them, even if this host's own
// view names another owner: forwarding could loop.
func (s *service) Run(ctx context.Context, in *stagepb.RunRequest) (*stagepb.RunReply, error) {
	if n := len(in.GetPieces()); n == 0 || n > stageplan.MaxPieces {
		return nil, twirp.InvalidArgumentError("pieces", fmt.Sprintf("want 1 to %d", stageplan.MaxPieces))
	}
	w := workFromMessage(time.Now(), in)
	s.g.backlogs.merge(time.Now(), in.GetBacklogs())
	a := s.g.runLocally(ctx, in.GetShard(), w)
	return &stagepb.RunReply{
		Results: resultMessages(a.Results), Failure: string(a.Failure), Backlogs: s.g.backlogs.messages(time.Now()),
		QueueMs: a.Times.Queue.Milliseconds(), CallMs: a.Times.Call.Milliseconds(), RoomMs: a.Times.Room.Milliseconds(),
	}, nil
}

// Alive answers a liveness check.
func (*service) Alive(context.Context, *stagepb.AliveRequest) (*stagepb.AliveReply, error) {
	return &stagepb.AliveReply{}, nil
}

// Release frees results for another host.
func (s *service) Release(_ context.Context, in *stagepb.ReleaseRequest) (*stagepb.ReleaseReply, error) {
	results, err := resultsFromMessages(in.GetResults())
	if err != nil {
		return nil, twirp.InvalidArgumentError("results", err.Error())
	}
	if pool := s.g.localPool(in.GetService()); pool != nil {
		pool.release(results)
	}
	return &stagepb.ReleaseReply{}, nil
}

func requestMessage(now time.Time, shard string, w stageplan.Work) *stagepb.RunRequest {
	m := &stagepb.RunRequest{
		Service:     w.Service,
		Request:     w.Request,
		Stage:       int32(w.Stage),
		Key:         w.Key,
		Inputs:      w.Inputs,
		Zone:        w.Zone,
		Workspace:   w.Workspace,
		Route:       w.Route,
		LatestMs:    w.Latest.Sub(now).Milliseconds(),
		DeadlineMs:  w.Deadline.Sub(now).Milliseconds(),
		Priority:    int32(w.Priority),
		ResultBytes: w.ResultBytes,
		InputBytes:  w.InputBytes,
		Shard:       shard,
		Beside:      w.HoldsOtherResults,
		Homes:       w.AllowedRegions,
	}
	for _, l := range w.Next {
		m.Next = append(m.Next, &stagepb.Load{Service: l.Service, Pieces: int64(l.Pieces)})
	}
	for _, p := range w.Pieces {
		m.Pieces = append(m.Pieces, &stagepb.Piece{Index: int32(p)})
	}
	return m
}

func workFromMessage(now time.Time, m *stagepb.RunRequest) stageplan.Work {
	w := stageplan.Work{
		Service:           m.GetService(),
		Request:           m.GetRequest(),
		Stage:             int(m.GetStage()),
		Key:               m.GetKey(),
		Inputs:            m.GetInputs(),
		Zone:              m.GetZone(),
		AllowedRegions:    m.GetHomes(),
		Workspace:         m.GetWorkspace(),
		Route:             m.GetRoute(),
		Latest:            now.Add(time.Duration(m.GetLatestMs()) * time.Millisecond),
		Deadline:          now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		Priority:          int(m.GetPriority()),
		ResultBytes:       max(m.GetResultBytes(), 0),
		InputBytes:        max(m.GetInputBytes(), 0),
		HoldsOtherResults: m.GetBeside(),
	}
	for _, l := range m.GetNext()[:min(len(m.GetNext()), maxNext)] {
		// No request has more pieces than this. A wrong figure would add to what all others announce.
		if pieces := l.GetPieces(); pieces > 0 && pieces <= stageplan.MaxPieces {
			w.Next = append(w.Next, stageplan.Load{Service: l.GetService(), Pieces: int(pieces)})
		}
	}
	for _, p := range m.GetPieces() {
		w.Pieces = append(w.Pieces, int(p.GetIndex()))
	}
	return w
}

// timesFromMessage returns the times that an owner states, 0 for those that are out of range.
func timesFromMessage(m *stagepb.RunReply) stageplan.Times {
	duration := func(ms int64) time.Duration {
		if ms < 0 || ms > maxStatedTime.Milliseconds() {
			return 0
		}
		return time.Duration(ms) * time.Millisecond
	}
	return stageplan.Times{Queue: duration(m.GetQueueMs()), Call: duration(m.GetCallMs()), Room: duration(m.GetRoomMs())}
}

func resultMessages(results []stageplan.Result) []*stagepb.Result {
	messages := make([]*stagepb.Result, 0, len(results))
	for _, r := range results {
		server, err := r.Server.MarshalBinary()
		if err != nil {
			continue
		}
		messages = append(messages, &stagepb.Result{Handle: r.Handle, Server: server, Zone: r.Zone})
	}
	return messages
}

func resultsFromMessages(messages []*stagepb.Result) ([]stageplan.Result, error) {
	results := make([]stageplan.Result, 0, len(messages))
	for _, m := range messages {
		r := stageplan.Result{Handle: m.GetHandle(), Zone: m.GetZone()}
		if err := r.Server.UnmarshalBinary(m.GetServer()); err != nil {
			return nil, fmt.Errorf("stagepool: result with server %x: %w", m.GetServer(), err)
		}
		results = append(results, r)
	}
	return results, nil
}
