// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/boot"
	"github.com/wingvale/wingvale/internal/daemon"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/platform"
)

const validGateway = `[node]
callers = 10.0.0.1:1
entries = 10.0.0.1:2
health = 10.0.0.1:3
peer = 10.0.0.1:4
metrics = 10.0.0.1:5
zone = a
[publisher]
address = 10.0.0.9:1
[retries]
share = 0.2
`

// reloadSettings starts a process with valid settings, changes its file to text and reloads
// it. It returns the previous settings, those in force, and the log output.
func reloadSettings(t *testing.T, text string) (old, got settings.Gateway, logged string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	assert.NilError(t, os.WriteFile(path, []byte(validGateway), 0o600))
	old, err := settings.LoadGateway(path)
	assert.NilError(t, err)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	p := platform.New(platform.Options{
		Settings: old, Log: log, Scope: tally.NoopScope, Dial: (&net.Dialer{}).DialContext, Seed: 1, SinceBoot: boot.Clock,
	})
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return old, daemon.Reload(p, path, old, log), out.String()
}

func TestReloadAppliesChangedSettings(t *testing.T) {
	_, got, logged := reloadSettings(t, strings.Replace(validGateway, "0.2", "0.1", 1))
	assert.Equal(t, got.RetryShare, 0.1)
	assert.Assert(t, strings.Contains(logged, "settings reloaded"), logged)
	assert.Assert(t, strings.Contains(logged, "restart_needed=false"), logged)
}

func TestReloadLogsNeededRestart(t *testing.T) {
	_, _, logged := reloadSettings(t, strings.Replace(validGateway, "zone = a", "zone = b", 1))
	assert.Assert(t, strings.Contains(logged, "restart_needed=true"), logged)
}

func TestReloadKeepsOldSettingsIfFileIsInvalid(t *testing.T) {
	wrong := strings.Replace(strings.Replace(validGateway, "0.2", "20", 1), "10.0.0.1:3", "nowhere", 1) + "unknown = 1\n"
	old, got, logged := reloadSettings(t, wrong)
	assert.DeepEqual(t, got.RetryShare, old.RetryShare)
	assert.Equal(t, got.Health, old.Health)
	assert.Assert(t, strings.Contains(logged, "settings rejected"), logged)
	for _, name := range []string{"share", "health", "unknown"} {
		assert.Assert(t, strings.Contains(logged, name), "%s is not named in %s", name, logged)
	}
}

// A second SIGTERM during a graceful stop stopped the process at once and reset the
// connections of all callers whose requests were being finished.
func TestSecondSIGTERMDoesNotAbortGracefulStop(t *testing.T) {
	assert.Assert(t, !daemon.ForcesStop(syscall.SIGTERM, false))
	assert.Assert(t, !daemon.ForcesStop(syscall.SIGTERM, true))
	assert.Assert(t, !daemon.ForcesStop(syscall.SIGINT, false))
	assert.Assert(t, daemon.ForcesStop(syscall.SIGINT, true))
}
