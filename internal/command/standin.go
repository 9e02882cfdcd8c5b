// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"gopkg.in/ini.v1"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
)

type standinCommand struct {
	Settings string `arg:"" type:"path" help:"An INI file: [standin] site, work, token, nodes, folder. See docs/OPERATORS.md."`
}

// Run serves the stand-ins of a site until SIGTERM or SIGINT. It writes a settings file for
// each daemon that is to run against them.
func (c standinCommand) Run(o *output) error {
	s, err := settings.LoadStandin(c.Settings)
	if err != nil {
		return fmt.Errorf("%w:\n%w", errUsage, err)
	}
	site, err := sites.ByName(s.Site)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	running, err := harness.New(harness.Options{
		Site:          site,
		Network:       harness.Loopback{},
		TokenInterval: s.TokenInterval,
		Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: s.CallTime, FailShare: s.FailShare} },
	})
	if err != nil {
		return err
	}
	defer running.Close()
	if err := writeNodeSettings(o, running, site, s); err != nil {
		return err
	}
	o.printf("platform %s with %d backend servers; end with a signal\n", running.PlatformAddress(), len(running.Servers("")))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}

// writeNodeSettings publishes the entry hosts and writes a settings file for each.
func writeNodeSettings(o *output, running *harness.Site, site sites.Site, s settings.Standin) error {
	for i := range s.Nodes {
		caller, err := harness.Loopback{}.Address(0, 0)
		if err != nil {
			return err
		}
		peer, err := harness.Loopback{}.Address(0, 0)
		if err != nil {
			return err
		}
		zone := site.Zones[i%len(site.Zones)]
		if err := running.ListHost(published.Host{Address: caller, Peer: peer, Role: published.RoleEntry, Zone: zone}); err != nil {
			return err
		}
		file := ini.Empty()
		for _, kv := range [][3]string{
			{"node", "caller", caller.String()},
			{"node", "peer", peer.String()},
			{"node", "zone", zone},
			{"platform", "addresses", running.PlatformAddress().String()},
			{"stop", "announce", (2 * time.Second).String()},
		} {
			file.Section(kv[0]).Key(kv[1]).SetValue(kv[2])
		}
		path := filepath.Join(s.SettingsFolder, fmt.Sprintf("node-%d.ini", i+1))
		if err := file.SaveTo(path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		o.printf("%s: caller %s, peer %s\n", path, caller, peer)
	}
	return nil
}
