// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/platform"
)

// Reload reads the settings of a process again.
func Reload(p *platform.Process, path string, old settings.Gateway, log *logrus.Logger) settings.Gateway {
	return reload(p, path, old, log)
}

// EndsAtOnce is what a signal does to a process that is stopping.
var EndsAtOnce = endsAtOnce

// LimitMemory makes the runtime keep to what the settings allow.
var LimitMemory = limitMemory
