// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

type campaignCommand struct{}

func (campaignCommand) Run(o *output) error { return nil }

type measureCommand struct{}

func (measureCommand) Run(o *output) error { return nil }
