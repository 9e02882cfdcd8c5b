// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package sites holds two complete example sites, one for each customer: their
// published configuration values and their pools of backend servers. The
// stand-ins, the demo, the examples and the tests use them.
package sites

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/standin"
)

//go:embed arhiva-climei farbwerk
var files embed.FS

// Pool describes one pool of backend servers of a site.
type Pool struct {
	Name string
	Role published.Role
	// Servers is the number of servers in the pool.
	Servers int
	// Stage is the stage that a stage pool runs: encode, retrieve or rerank.
	Stage string
	// Slots is the number of calls that one server processes concurrently.
	Slots int
}

// Site describes the installation of one customer.
type Site struct {
	Name string
	// Zones are the availability zones of the site, one per data hall.
	Zones []string
	Pools []Pool
	// Documents is the data set that the retrievers of the site search.
	Documents []standin.Document
	// Questions are example inputs for requests.
	Questions []string
	// CustomValues replaces the embedded values of the site, if set.
	CustomValues map[string]string
}

// Names of the stages that stage pools run.
const (
	StageEncode   = "encode"
	StageRetrieve = "retrieve"
	StageRerank   = "rerank"
)

// ArhivaClimei returns the site of a weather archive in Cluj.
func ArhivaClimei() Site {
	return Site{
		Name:  "arhiva-climei",
		Zones: []string{"cluj-a", "cluj-b", "cluj-c"},
		Pools: []Pool{
			{Name: "logbook-readers", Role: published.RoleEngine, Servers: 20, Slots: 8},
			{Name: "encoders", Role: published.RolePool, Servers: 3, Stage: StageEncode, Slots: 8},
			{Name: "retrievers", Role: published.RolePool, Servers: 4, Stage: StageRetrieve, Slots: 8},
			{Name: "rerankers", Role: published.RolePool, Servers: 3, Stage: StageRerank, Slots: 8},
			{Name: "records-query", Role: published.RoleService, Servers: 3, Slots: 16},
			{Name: "ledger-intake", Role: published.RoleService, Servers: 5, Slots: 16},
			{Name: "coop-dashboard", Role: published.RoleService, Servers: 5, Slots: 16},
			{Name: "accounts-keys", Role: published.RoleService, Servers: 5, Slots: 16},
		},
		Documents: standin.ClimateRecords(),
		Questions: []string{
			"How hot was July 1904 at Cluj station?",
			"Which months of drought did Turda station see in August 1946?",
			"Where is the gap in January 1954 at Alba station?",
			"When did Bistrita station resume after the hail of June 1962?",
		},
	}
}

// Farbwerk returns the site of a colour-mixing assistant in Switzerland.
func Farbwerk() Site {
	return Site{
		Name:  "farbwerk",
		Zones: []string{"luzern-a", "luzern-b", "luzern-c"},
		Pools: []Pool{
			{Name: "language-models", Role: published.RoleEngine, Servers: 10, Slots: 8},
			{Name: "encoders", Role: published.RolePool, Servers: 3, Stage: StageEncode, Slots: 8},
			{Name: "retrievers", Role: published.RolePool, Servers: 3, Stage: StageRetrieve, Slots: 8},
			{Name: "rerankers", Role: published.RolePool, Servers: 3, Stage: StageRerank, Slots: 8},
			{Name: "mixing-portal", Role: published.RoleService, Servers: 3, Slots: 16},
			{Name: "customer-accounts", Role: published.RoleService, Servers: 5, Slots: 16},
			{Name: "invoicing", Role: published.RoleService, Servers: 5, Slots: 16},
			{Name: "colour-catalogue", Role: published.RoleService, Servers: 5, Slots: 16},
		},
		Documents: standin.Recipes(),
		Questions: []string{
			"How do I mix alpine grey?",
			"Why does lake blue dry darker?",
			"How many coats does chalet red need on fir?",
			"What is in the plum shade?",
		},
	}
}

// ByName returns the site with the given name, or an error if there is none.
func ByName(name string) (Site, error) {
	for _, s := range []Site{ArhivaClimei(), Farbwerk()} {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, fmt.Errorf("sites: unknown site %q; known sites are arhiva-climei and farbwerk", name)
}

// Values returns the published values of the site by key.
func (s Site) Values() (map[string]string, error) {
	if s.CustomValues != nil {
		return s.CustomValues, nil
	}
	return ReadValues(files, s.Name)
}

// ReadValues returns the values in the JSON files below a folder. The key of a value is the path of
// its file within the folder without the extension, such as templates/NAME.
func ReadValues(fsys fs.FS, folder string) (map[string]string, error) {
	values := make(map[string]string)
	err := fs.WalkDir(fsys, folder, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".json" {
			return err
		}
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return err
		}
		key := strings.TrimPrefix(strings.TrimSuffix(name, ".json"), folder+"/")
		values[key] = string(data)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("sites: %w", err)
	}
	return values, nil
}
