// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import (
	"fmt"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/enginepool/enginepb"
	"github.com/wingvale/wingvale/internal/placing"
)

func placeRequest(shard string, p placing.Prompt, reports []placing.Report, paces map[string]time.Duration) *enginepb.PlaceRequest {
	m := &enginepb.PlaceRequest{
		Service:      shard,
		First:        p.First,
		Shared:       p.Shared,
		FirstTokens:  int64(p.FirstTokens),
		SharedTokens: int64(p.SharedTokens),
		OwnTokens:    int64(p.OwnTokens),
		Zone:         p.Zone,
		InputBytes:   p.InputBytes,
		LeftMs:       p.TimeLeft.Milliseconds(),
		Except:       p.Excluded,
		Homes:        p.AllowedRegions,
		Id:           p.ID,
		TokensOut:    int64(p.TokensOut),
		GapLimitMs:   p.GapLimit.Milliseconds(),
		Paces:        paceMessages(paces),
	}
	m.Reports = reportMessages(reports)
	return m
}

func reportMessages(reports []placing.Report) []*enginepb.Report {
	messages := make([]*enginepb.Report, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &enginepb.Report{
			Instance: r.Instance, FirstMs: r.FirstEventTime.Milliseconds(), ExpectedMs: r.Expected.Milliseconds(), Failed: r.Failed,
			Id: r.ID, EventGapUs: r.EventGap.Microseconds(), Withdrawn: r.Withdrawn,
		})
	}
	return messages
}

func reportsFromMessages(messages []*enginepb.Report) []placing.Report {
	reports := make([]placing.Report, 0, len(messages))
	for _, r := range messages {
		reports = append(reports, placing.Report{
			Instance:       r.GetInstance(),
			FirstEventTime: milliseconds(r.GetFirstMs()),
			Expected:       milliseconds(r.GetExpectedMs()),
			Failed:         r.GetFailed(),
			ID:             r.GetId(),
			EventGap:       microseconds(r.GetEventGapUs()),
			Withdrawn:      r.GetWithdrawn(),
		})
	}
	return reports
}

func promptFromMessage(in *enginepb.PlaceRequest) placing.Prompt {
	return placing.Prompt{
		First:          in.GetFirst(),
		Shared:         in.GetShared(),
		FirstTokens:    int(max(in.GetFirstTokens(), 0)),
		SharedTokens:   int(max(in.GetSharedTokens(), 0)),
		OwnTokens:      int(max(in.GetOwnTokens(), 0)),
		Zone:           in.GetZone(),
		InputBytes:     max(in.GetInputBytes(), 0),
		TimeLeft:       milliseconds(in.GetLeftMs()),
		Excluded:       in.GetExcept(),
		AllowedRegions: in.GetHomes(),
		ID:             in.GetId(),
		TokensOut:      int(max(in.GetTokensOut(), 0)),
		GapLimit:       milliseconds(max(in.GetGapLimitMs(), 0)),
	}
}

func placeReply(place placing.Placement) (*enginepb.PlaceReply, error) {
	reply := &enginepb.PlaceReply{
		Instance: place.Instance, WaitMs: place.Wait.Milliseconds(), ExpectedMs: place.Expected.Milliseconds(), SpeedPercent: int64(math.Round(100 * place.Speed)),
	}
	if place.Source.IsValid() {
		source, err := place.Source.MarshalBinary()
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Source = source
	}
	return reply, nil
}

func placementFromMessage(reply *enginepb.PlaceReply) (placing.Placement, error) {
	place := placing.Placement{
		Instance: reply.GetInstance(),
		Wait:     milliseconds(reply.GetWaitMs()),
		Expected: milliseconds(reply.GetExpectedMs()),
		Speed:    float64(reply.GetSpeedPercent()) / 100,
	}
	if source := reply.GetSource(); len(source) > 0 {
		if err := place.Source.UnmarshalBinary(source); err != nil {
			return placing.Placement{}, fmt.Errorf("enginepool: decoding source address %x: %w", source, err)
		}
	}
	return place, nil
}

// milliseconds converts a number of a message. One that a Duration cannot represent becomes the
// closest Duration: if it wrapped around, an implausible value could become a plausible one.
func milliseconds(count int64) time.Duration {
	return scaled(count, time.Millisecond)
}

// microseconds is like milliseconds.
func microseconds(count int64) time.Duration {
	return scaled(count, time.Microsecond)
}

func scaled(count int64, unit time.Duration) time.Duration {
	limit := math.MaxInt64 / int64(unit)
	return time.Duration(min(max(count, -limit), limit)) * unit
}
