// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"fmt"
	"time"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
)

// Stage times and sizes of the measured site. The capacities of the four stages are close to
// each other, so that each can become the bottleneck.
const (
	encodeWork   = 40 * time.Millisecond
	retrieveWork = 60 * time.Millisecond
	rerankWork   = 50 * time.Millisecond
	prefillWork  = 60 * time.Millisecond
	tokenTime    = 30 * time.Millisecond
	// answerTokens is the number of tokens in an answer.
	answerTokens = 17
	question     = "How do I mix alpine grey?"
	poolSlots    = 2
	engineSlots  = 4
	deadline     = 2 * time.Second
	modelBytes   = 16_000_000_000
	weightRate   = modelBytes / 2
	jitter       = 0.2
)

var stages = []string{"encode", "retrieve", "rerank", "generate"}

// siteSize is the size of a site: its zones and the number of servers of each stage.
type siteSize struct {
	name    string
	runners map[string]int
	zones   []string
}

// farbwerkSize returns the size of the site of the customer Farbwerk.
func farbwerkSize() siteSize {
	return siteSize{name: "farbwerk", runners: map[string]int{"encode": 3, "retrieve": 3, "rerank": 3, "generate": 10}, zones: sites.Farbwerk().Zones}
}

// arhivaSize returns the size of the site of the customer Arhiva Climei.
func arhivaSize() siteSize {
	return siteSize{name: "arhiva-climei", runners: map[string]int{"encode": 6, "retrieve": 6, "rerank": 6, "generate": 20}, zones: sites.ArhivaClimei().Zones}
}

func stageWork(stage string) time.Duration {
	return map[string]time.Duration{
		"encode":   encodeWork,
		"retrieve": retrieveWork,
		"rerank":   rerankWork,
		"generate": prefillWork + (answerTokens-1)*tokenTime,
	}[stage]
}

func stageSlots(stage string) int {
	if stage == "generate" {
		return engineSlots
	}
	return poolSlots
}

// capacity returns how many calls a second a stage can serve.
func (s siteSize) capacity(stage string) float64 {
	return float64(s.runners[stage]*stageSlots(stage)) / stageWork(stage).Seconds()
}

// site returns a site of that size. Each stage has a pipeline of its own in addition to the
// full pipeline.
func (s siteSize) site() sites.Site {
	site := sites.Site{Name: s.name, Zones: s.zones, Documents: standin.Recipes(), CustomValues: s.publishedValues()}
	for _, stage := range stages {
		p := sites.Pool{Name: stage, Role: published.RolePool, Stage: stage, Servers: s.runners[stage], Slots: stageSlots(stage)}
		if stage == "generate" {
			p.Role, p.Stage = published.RoleEngine, ""
		}
		site.Pools = append(site.Pools, p)
	}
	return site
}

const stageValue = `{"name":%q,"kind":"pool","pool":%q}`

const generateValue = `{"name":"generate","kind":"engine","pool":"generate","model":"guide","prompt":"Explain.\n{previous}\nQuestion: {input}\n"}`

func (s siteSize) publishedValues() map[string]string {
	values := map[string]string{
		"models/guide": fmt.Sprintf(`{"format":1,"name":"guide","version":"v1","pool":"generate","bytes":%d,"replicas":%d}`, modelBytes, s.runners["generate"]),
	}
	stageList := ""
	pipelines := `"full":{}`
	for i, stage := range stages {
		value := fmt.Sprintf(stageValue, stage, stage)
		if stage == "generate" {
			value = generateValue
		}
		if i > 0 {
			stageList += ","
		}
		stageList += value
		only := "only-" + stage
		values["templates/"+only] = fmt.Sprintf(`{"format":1,"name":%q,"deadline":"2s","stages":[%s]}`, only, value)
		pipelines += fmt.Sprintf(`,%q:{}`, only)
	}
	values["templates/full"] = fmt.Sprintf(`{"format":1,"name":"full","deadline":"2s","stages":[%s]}`, stageList)
	for _, w := range workspaces {
		values["workspaces/"+w] = fmt.Sprintf(`{"format":1,"name":%q,"customer":%q,"weight":1,"pipelines":{%s}}`, w, s.name, pipelines)
	}
	return values
}

var workspaces = []string{"north", "south", "east", "west", "large"}
