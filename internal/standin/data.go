// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/protocol"
)

// Document is one document of a data set. Score is its rank score in results.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score,omitempty"`
}

// Vector is the result of an encoder stage.
type Vector struct {
	Vector []float64 `json:"vector"`
}

// RankedDocuments is the result of a retriever or reranker stage, the best documents first.
type RankedDocuments struct {
	Documents []Document `json:"documents"`
}

// ClimateRecords returns the data set of a weather archive.
func ClimateRecords() []Document {
	return []Document{
		{ID: "cluj-1904-07", Text: "Cluj station, July 1904: 31.2 degrees at noon, no rain for 23 days, the Somes stood low."},
		{ID: "cluj-1931-02", Text: "Cluj station, February 1931: minus 24.8 degrees at dawn, snow to 61 centimetres."},
		{ID: "turda-1946-08", Text: "Turda station, August 1946: drought in its third month, 4 millimetres of rain, wells dry."},
		{ID: "dej-1970-05", Text: "Dej station, May 1970: flood of the Somes, 112 millimetres of rain in two days."},
		{ID: "sibiu-1888-10", Text: "Sibiu station, October 1888: first frost on the 9th, barley harvest ended late."},
		{ID: "alba-1954-01", Text: "Alba station, January 1954: gap from the 3rd to the 19th, the observer was snowed in."},
		{ID: "bistrita-1962-06", Text: "Bistrita station, June 1962: hail on the 14th broke the rain gauge, readings resume on the 20th."},
		{ID: "medias-1918-11", Text: "Medias station, November 1918: no readings, the ledger was moved to the town hall."},
	}
}

// Recipes returns the data set of a colour-mixing assistant.
func Recipes() []Document {
	return []Document{
		{ID: "alpine-grey", Text: "Alpine grey: 6 parts white base, 2 parts lamp black, 1 part cobalt, stir for 4 minutes."},
		{ID: "chalet-red", Text: "Chalet red: 5 parts iron oxide, 1 part umber, 3 parts clear base, needs two coats on fir."},
		{ID: "lake-blue", Text: "Lake blue: 4 parts ultramarine, 3 parts white base, 1 part phthalo green, dries darker."},
		{ID: "meadow-green", Text: "Meadow green: 3 parts chrome oxide, 2 parts yellow ochre, 4 parts white base."},
		{ID: "saffron-wall", Text: "Saffron wall: 7 parts yellow ochre, 1 part iron oxide, 2 parts white base, matt finish."},
		{ID: "granite-floor", Text: "Granite floor: 5 parts grey epoxy, 1 part quartz, no thinner, 12 hours to dry."},
		{ID: "plum-shade", Text: "Plum shade: 2 parts magenta, 2 parts ultramarine, 1 part umber, 5 parts white base."},
		{ID: "cream-ceiling", Text: "Cream ceiling: 9 parts white base, 1 part yellow ochre, a drop of umber."},
	}
}

const (
	// vectorDimensions is the length of vectors. retrievedCount and rerankedCount are the
	// numbers of documents that a retriever and a reranker return.
	vectorDimensions = 64
	retrievedCount   = 4
	rerankedCount    = 2
)

func words(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9')
	})
}

// Embed returns a unit vector of the hashed words of text, or a zero vector if it has no words.
func Embed(text string) []float64 {
	v := make([]float64, vectorDimensions)
	for _, w := range words(text) {
		v[xxhash.Sum64String(w)%vectorDimensions]++
	}
	norm := 0.0
	for _, x := range v {
		norm += x * x
	}
	if norm == 0 {
		return v
	}
	for i := range v {
		v[i] /= math.Sqrt(norm)
	}
	return v
}

// Encode is the Job of an encoder stage.
func Encode(call protocol.StageCall) (json.RawMessage, error) {
	return json.Marshal(Vector{Vector: Embed(call.Input)})
}

// Retrieve returns the Job of a retriever stage over documents. Without a vector from a previous
// stage it embeds the input itself.
func Retrieve(documents []Document) Job {
	return func(call protocol.StageCall) (json.RawMessage, error) {
		in := Vector{Vector: Embed(call.Input)}
		if len(call.Previous) > 0 {
			if err := json.Unmarshal(call.Previous, &in); err != nil {
				return nil, err
			}
		}
		ranked := slices.Clone(documents)
		for i := range ranked {
			ranked[i].Score = dot(in.Vector, Embed(ranked[i].Text))
		}
		return json.Marshal(RankedDocuments{Documents: topDocuments(ranked, retrievedCount)})
	}
}

// Rerank is the Job of a reranker stage. Documents that share more words with the question come
// first.
func Rerank(call protocol.StageCall) (json.RawMessage, error) {
	var in RankedDocuments
	if len(call.Previous) > 0 {
		if err := json.Unmarshal(call.Previous, &in); err != nil {
			return nil, err
		}
	}
	questionWords := words(call.Input)
	for i := range in.Documents {
		shared := 0
		documentWords := words(in.Documents[i].Text)
		for _, w := range questionWords {
			if slices.Contains(documentWords, w) {
				shared++
			}
		}
		in.Documents[i].Score = float64(shared)
	}
	return json.Marshal(RankedDocuments{Documents: topDocuments(in.Documents, rerankedCount)})
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range min(len(a), len(b)) {
		sum += a[i] * b[i]
	}
	return sum
}

func topDocuments(documents []Document, count int) []Document {
	slices.SortFunc(documents, func(a, b Document) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return documents[:min(count, len(documents))]
}

// maxRepeats limits how often an answer is repeated.
const maxRepeats = 100

// repeatCount returns how often an answer is to be repeated: N for a prompt that ends in "N times",
// otherwise 1.
func repeatCount(prompt string) int {
	f := strings.Fields(prompt)
	if len(f) < 2 || f[len(f)-1] != "times" {
		return 1
	}
	n, err := strconv.Atoi(f[len(f)-2])
	if err != nil {
		return 1
	}
	return min(max(n, 1), maxRepeats)
}

// ComposeAnswer returns the answer of an engine to a prompt: the first document in the prompt, or
// the last line of the prompt if it has no document. For a question that ends in "N times" the
// answer is repeated N times, which makes a long stream.
func ComposeAnswer(prompt string) string {
	for line := range strings.Lines(prompt) {
		var in RankedDocuments
		if json.Unmarshal([]byte(strings.TrimSpace(line)), &in) == nil && len(in.Documents) > 0 {
			answer := fmt.Sprintf("%s [%s]", in.Documents[0].Text, in.Documents[0].ID)
			return strings.Join(slices.Repeat([]string{answer}, repeatCount(prompt)), " ")
		}
	}
	lines := strings.Split(strings.TrimSpace(prompt), "\n")
	return lines[len(lines)-1]
}

// ExpectedAnswer returns the exact text that the four stages must answer to input.
func ExpectedAnswer(documents []Document, input string) (string, error) {
	encoded, err := Encode(protocol.StageCall{Input: input})
	if err != nil {
		return "", err
	}
	retrieved, err := Retrieve(documents)(protocol.StageCall{Input: input, Previous: encoded})
	if err != nil {
		return "", err
	}
	reranked, err := Rerank(protocol.StageCall{Input: input, Previous: retrieved})
	if err != nil {
		return "", err
	}
	return ComposeAnswer(string(reranked) + "\n" + input), nil
}

// Receipt is the result of a call to a plain service.
type Receipt struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Input   string `json:"input"`
}

// PlainServiceJob returns the Job of a plain service, which returns a Receipt for the call.
func PlainServiceJob(name string) Job {
	return func(call protocol.StageCall) (json.RawMessage, error) {
		return json.Marshal(Receipt{Service: name, Request: call.Request.String(), Input: call.Input})
	}
}
