// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/pipeline"
)

const templateJSON = `{"format":1,"name":"t","deadline":"2s","stages":[{"name":"a","kind":"pool","pool":"p"},{"name":"b","kind":"engine","pool":"e","model":"m"}]}`

func TestDecodeRejectsInvalidValues(t *testing.T) {
	cases := []struct{ name, key, value, want string }{
		{"no JSON", "templates/t", `{`, "unexpected EOF"},
		{"a field too many", "templates/t", strings.Replace(templateJSON, `"format":1`, `"format":1,"colour":"red"`, 1), `unknown field "colour"`},
		{"another format", "templates/t", strings.Replace(templateJSON, `"format":1`, `"format":2`, 1), "format 2, this release supports 1"},
		{"another name than the key", "templates/u", templateJSON, `has the name "t"`},
		{"no unit", "templates/t", strings.Replace(templateJSON, `"2s"`, `"2"`, 1), "want a number and a unit"},
		{"a negative deadline", "templates/t", strings.Replace(templateJSON, `"2s"`, `"-2s"`, 1), "negative"},
		{"a stage twice", "templates/t", strings.Replace(templateJSON, `"name":"b"`, `"name":"a"`, 1), "duplicate stage a"},
		{"a model for a pool", "templates/t", strings.Replace(templateJSON, `"pool":"p"`, `"pool":"p","model":"m"`, 1), "for kind"},
		{"no kind", "templates/t", strings.Replace(templateJSON, `"kind":"pool"`, `"kind":"tea"`, 1), `kind "tea"`},
		{"no stages", "templates/t", `{"format":1,"name":"t","deadline":"2s","stages":[]}`, "0 stages"},
		{"something after it", "templates/t", templateJSON + templateJSON, "trailing data"},
		{"another kind of key", "tea/t", templateJSON, "want templates/NAME"},
		{"a weight of 0", "workspaces/w", `{"format":1,"name":"w","customer":"c","weight":0,"pipelines":{}}`, "weight 0"},
		{"no replicas", "models/m", `{"format":1,"name":"m","version":"v","pool":"p","bytes":1,"replicas":0}`, "replicas 0"},
		{"huge", "templates/t", strings.Repeat(" ", pipeline.MaxValueBytes+1), "at most"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := pipeline.Decode(c.key, []byte(c.value))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestWorkspaceResolvesTemplate(t *testing.T) {
	v, err := pipeline.Decode("templates/t", []byte(templateJSON))
	assert.NilError(t, err)
	cases := []struct{ name, parameters, want, err string }{
		{"as it stands", `{}`, "a,b m 2s interactive", ""},
		{"fewer stages", `{"stages":["b"]}`, "b m 2s interactive", ""},
		{"another model, wait and class", `{"model":"n","max_wait":"1s","class":"background"}`, "a,b n 1s background", ""},
		{"a stage that is not there", `{"stages":["c"]}`, "", "does not have all of the stages"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p pipeline.Parameters
			assert.NilError(t, json.Unmarshal([]byte(c.parameters), &p))
			w := pipeline.Workspace{Name: "w", Pipelines: map[string]pipeline.Parameters{"t": p}}
			got, err := w.Resolve(*v.Template)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			var names []string
			for _, s := range got.Stages {
				names = append(names, s.Name)
			}
			last := got.Stages[len(got.Stages)-1]
			assert.Equal(t, fmt.Sprint(strings.Join(names, ","), " ", last.Model, " ", got.Deadline.Std(), " ", got.Class), c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("templates/t", []byte(templateJSON))
	f.Add("workspaces/w", []byte(`{"format":1,"name":"w","customer":"c","weight":1,"pipelines":{"a":{}}}`))
	f.Add("models/m", []byte(`{"format":1,"name":"m","version":"v","pool":"p","bytes":1,"replicas":1}`))
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		first, err1 := pipeline.Decode(key, data)
		second, err2 := pipeline.Decode(key, data)
		assert.Equal(t, err1 == nil, err2 == nil)
		if err1 == nil {
			assert.DeepEqual(t, first, second)
		}
	})
}
