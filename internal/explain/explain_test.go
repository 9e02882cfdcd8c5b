// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/explain"
)

// entryLog is the log of the host that accepted the requests, with a prefix before one line.
// ownerLog is the log of a host that owns a pool.
const (
	entryLog = `
{"msg":"configuration in force","node":"10.1.0.1:80","time":"10:00:00.000","version":4}
{"msg":"a backend server leaves","node":"10.1.0.1:80","server":"i-1","source":"peer","time":"10:00:05.000"}
{"msg":"a backend server asks for rest","node":"10.1.0.1:80","server":"i-other","asked_ms":3000,"time":"10:00:05.500"}
{"msg":"a backend server states a rate limit","node":"10.1.0.1:80","server":"i-1","per_second":1.5,"source":"answer","version":3,"time":"10:00:05.700"}
{"msg":"a backend server is brittle","node":"10.1.0.1:80","server":"i-1","rejections":4,"source":"answer","version":3,"time":"10:00:05.800"}
{"msg":"the rate limit of a backend server is used up","node":"10.1.0.1:80","server":"i-1","for_ms":400,"time":"10:00:06.000"}
{"msg":"the platform lost writes and is in a new era","node":"10.1.0.1:80","era":2,"revision":52,"revision_before":56,"time":"10:00:06.500"}
  7.02 host-1 {"msg":"stage failed","node":"10.1.0.1:80","owner":"10.2.0.1:80","failure":"late","request":"r-1","time":"10:00:06.900"}
{"msg":"request ended","node":"10.1.0.1:80","request":"r-1","outcome":"late","server":"i-1","stages_ms":65,"took_ms":70,"held_ms":8000,"objective_ms":1000,"route":"a","workspace":"w","time":"10:00:07.000"}
{"msg":"request ended","node":"10.1.0.1:80","request":"r-2","outcome":"answered","first_ms":300,"took_ms":900,"route":"a","workspace":"w","time":"10:00:08.000"}
{"msg":"configuration in force","node":"10.1.0.1:80","time":"10:00:09.000","version":5}
not a line
`
	ownerLog = `
{"msg":"work waits long for stage servers","node":"10.2.0.1:80","oldest_ms":900,"time":"10:00:06.800"}
`
)

func readLogs(t *testing.T, texts ...string) *explain.Logs {
	t.Helper()
	logs := &explain.Logs{}
	for _, text := range texts {
		lines, unread, err := explain.Read(strings.NewReader(text))
		assert.NilError(t, err)
		logs.Add(lines, unread)
	}
	return logs
}

func writeTrace(t *testing.T, logs *explain.Logs, id string) string {
	t.Helper()
	s, err := logs.RequestTrace(id)
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, s.Write(&b))
	return b.String()
}

func TestTraceShowsLinesStateChangesAndTimes(t *testing.T) {
	logs := readLogs(t, entryLog, ownerLog)
	assert.Equal(t, logs.Unparsed, 1)
	got := writeTrace(t, logs, "r-1")
	for _, want := range []string{
		"late: a stage's owner told that it would not be reached in time",
		"10:00:06.900  10.1.0.1:80  stage failed failure=late owner=10.2.0.1:80",
		"7s  configuration in force version=4",
		"2s  a backend server leaves server=i-1 source=peer",
		"1.3s  a backend server states a rate limit per_second=1.5 server=i-1 source=answer version=3",
		"1.2s  a backend server is brittle rejections=4 server=i-1 source=answer version=3",
		"1s  the rate limit of a backend server is used up for_ms=400 server=i-1",
		"500ms  the platform lost writes and is in a new era era=2 revision=52 revision_before=56",
		"time: 70ms in all of 8s, in time within 1s; stages 65ms",
	} {
		assert.Check(t, strings.Contains(got, want), "%q is not in\n%s", want, got)
	}
	for _, other := range []string{"version=5", "i-other", "is missing"} {
		assert.Check(t, !strings.Contains(got, other), "%q is in\n%s", other, got)
	}
}

func TestTraceNamesHostsWhoseLogIsMissing(t *testing.T) {
	got := writeTrace(t, readLogs(t, entryLog), "r-1")
	assert.Check(t, strings.Contains(got, "the log of 10.2.0.1:80 is missing"), got)
	_, err := readLogs(t, ownerLog).RequestTrace("r-1")
	assert.Check(t, errors.Is(err, explain.ErrUnknown))
}

func TestTraceWithoutLastLine(t *testing.T) {
	logs := readLogs(t, `{"msg":"stage failed","node":"h","request":"r-9","time":"10:00:00.000"}`)
	assert.Check(t, strings.Contains(writeTrace(t, logs, "r-9"), "no log has its end"))
}

// Guards against a stream that its server broke off being explained as one that the host could not end.
func TestTraceNamesBrokenAnswers(t *testing.T) {
	logs := readLogs(t, `{"msg":"request ended","node":"h","request":"r-5","outcome":"cut","framing":"connection","partial_bytes":17,"server":"i-1","time":"10:00:00.000"}
{"msg":"request ended","node":"h","request":"r-6","outcome":"answered","framing":"connection","end_unverified":true,"server":"i-1","time":"10:00:00.000"}
{"msg":"request ended","node":"h","request":"r-7","outcome":"answered","framing":"length","server":"i-1","time":"10:00:00.000"}`)
	assert.Check(t, strings.Contains(writeTrace(t, logs, "r-5"), "answer of i-1: framing connection; it ended inside an event, of which 17 bytes had come\n"))
	assert.Check(t, strings.Contains(writeTrace(t, logs, "r-6"), "answer of i-1: framing connection; nothing shows that it is whole"))
	assert.Check(t, !strings.Contains(writeTrace(t, logs, "r-7"), "answer of"))
}

// Guards against a refused or mixed stream whose trace does not tell the software versions that it ran at.
func TestTraceLacksVersionsOfStream(t *testing.T) {
	logs := readLogs(t, `{"msg":"stream broke off, and goes on at another backend server","node":"h","request":"r-5","server":"i-1","version":"v1","time":"10:00:00.000"}
{"msg":"request ended","node":"h","request":"r-5","outcome":"answered","server":"i-2","version":"v1","time":"10:00:01.000"}
{"msg":"request ended","node":"h","request":"r-6","outcome":"version_unknown","continues":true,"origin":"r-5","server":"","time":"10:00:02.000"}
{"msg":"request ended","node":"h","request":"r-8","outcome":"answered","continues":true,"origin":"r-5","stream_version":"v1","version_evidence":"record","first_server":"i-3","server":"i-3","version":"v1","time":"10:00:02.500"}
{"msg":"request ended","node":"h","request":"r-7","outcome":"answered","server":"i-2","version":"v1","time":"10:00:03.000"}`)
	assert.Check(t, strings.Contains(writeTrace(t, logs, "r-5"), "ran at i-1 (version v1), then i-2 (version v1)\n"))
	refused := writeTrace(t, logs, "r-6")
	assert.Check(t, strings.Contains(refused, "its caller took up the stream that attempt \"r-5\" began\n"), refused)
	assert.Check(t, strings.Contains(refused, "no host knew which software version began it"), refused)
	takenUp := writeTrace(t, logs, "r-8")
	assert.Check(t, strings.Contains(takenUp, "that attempt \"r-5\" began at version \"v1\" (evidence: record)\n"), takenUp)
	assert.Check(t, !strings.Contains(writeTrace(t, logs, "r-7"), "ran at"))
}

func TestRequestsAppliesFilter(t *testing.T) {
	logs := readLogs(t, entryLog, ownerLog)
	since := time.Date(0, 1, 1, 10, 0, 7, 500e6, time.UTC)
	assert.DeepEqual(t, logs.Requests(explain.Filter{}), []string{"r-2", "r-1"})
	assert.DeepEqual(t, logs.Requests(explain.Filter{MaxRequests: 1}), []string{"r-2"})
	assert.DeepEqual(t, logs.Requests(explain.Filter{Outcome: "late"}), []string{"r-1"})
	assert.DeepEqual(t, logs.Requests(explain.Filter{Since: since}), []string{"r-2"})
}

// FuzzRead checks that parsing never panics and that each request found can be traced and written.
func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(`{"msg":7,"time":"10:00:00.000","node":null,"took_ms":"x"}`)
	f.Add(isolatedLog + forwardTargetLog)
	f.Fuzz(func(t *testing.T, text string) {
		lines, unread, err := explain.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		logs := &explain.Logs{}
		logs.Add(lines, unread)
		for _, id := range logs.Requests(explain.Filter{}) {
			s, err := logs.RequestTrace(id)
			if err != nil && id != "" {
				t.Fatal(err)
			}
			var b strings.Builder
			if err := s.Write(&b); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The trace of a request did not say that a server had sent bytes that are no answer, or that late events were
// dropped.
func TestTraceLacksBadAnswersAndLateEvents(t *testing.T) {
	text := writeTrace(t, readLogs(t, `
{"msg":"send failed","node":"h","request":"r-1","server":"i-1","outcome":"failed","reason":"bad_answer","error":"the heads of the answer are too long","time":"10:00:01.000"}
{"msg":"send failed","node":"h","request":"r-1","server":"i-3","outcome":"failed","reason":"connection","error":"EOF","time":"10:00:01.010"}
{"msg":"late events of a silent backend server dropped","node":"h","request":"r-1","server":"i-2","after_event":"3","last_event":"5","second_works":true,"time":"10:00:01.100"}
{"msg":"request ended","node":"h","request":"r-1","outcome":"answered","server":"i-4","time":"10:00:01.200"}
`), "r-1")
	for _, want := range []string{
		"i-1 sent bytes that are no whole answer to the request (the heads of the answer are too long); the connection was closed, and the request may have run",
		"i-2 had sent events up to 5 before it ended; a second server goes on after event 3",
	} {
		assert.Check(t, strings.Contains(text, want), "want %q in\n%s", want, text)
	}
	assert.Check(t, !strings.Contains(text, "i-3 sent bytes"))
}

// The trace of a stream did not say why its host ended a send, and where the stream went on.
func TestTraceLacksSilentServers(t *testing.T) {
	text := writeTrace(t, readLogs(t, `
{"msg":"silent stream sent to a second backend server","node":"h","request":"r-1","server":"i-1","second":"i-2","finding":"silent","silent_ms":1000,"others_sending":3,"time":"10:00:01.000"}
{"msg":"the host ended a send","node":"h","request":"r-1","server":"i-1","reason":"superseded","replaced_by":"i-2","silent_ms":1100,"server_silent_ms":1050,"time":"10:00:01.100"}
{"msg":"the host ended a send","node":"h","request":"r-1","server":"i-2","reason":"caller_left","time":"10:00:01.200"}
{"msg":"request ended","node":"h","request":"r-1","outcome":"left","server":"i-2","time":"10:00:01.200"}
`), "r-1")
	for _, want := range []string{
		"i-1 was silent for 1s: the server accepted connections and sent nothing on any; sent to i-2 as well, 3 other servers were sending",
		"the host ended its send to i-1: another server had answered (i-2); the server's last data came 1.1s before on this connection, 1.05s before on any",
		"the host ended its send to i-2: the caller had left; the server had sent nothing",
	} {
		assert.Check(t, strings.Contains(text, want), "want %q in\n%s", want, text)
	}
}

// Guards against a refusal of a harmful request that can't be traced to the crashes behind it.
func TestTraceShowsCrashesUnderRequest(t *testing.T) {
	out := writeTrace(t, readLogs(t, `
{"msg":"a backend server crashed while serving a request","node":"10.1.0.2:80","request":"r-1","server":"i-1","digest":"0a","answered":true,"end_unverified":true,"time":"10:00:01.000"}
{"msg":"an answer cleared a request of crashes","node":"10.1.0.3:80","request":"r-2","server":"i-2","digest":"0a","framing":"connection","answers":1,"ends":1,"time":"10:00:02.000"}
{"msg":"a backend server crashed while serving a request","node":"10.1.0.2:80","request":"r-3","server":"i-3","digest":"0a","answered":false,"time":"10:00:03.000"}
{"msg":"a backend server crashed while serving a request","node":"10.1.0.2:80","request":"r-9","server":"i-9","digest":"0b","time":"10:00:03.500"}
{"msg":"request ended","node":"10.1.0.1:80","request":"r-4","outcome":"harmful","digest":"0a","took_ms":1,"route":"a","workspace":"w","time":"10:00:04.000"}
`), "r-4")
	for _, want := range []string{
		"harmful: servers ended under requests like it",
		"10:00:01.000  i-1 crashed under attempt r-1, after an answer that ended in good order\n",
		"10:00:02.000  cleared of 1 crashes by attempt r-2, which i-2 answered (framing connection)\n",
		"10:00:03.000  i-3 crashed under attempt r-3\n",
	} {
		assert.Check(t, strings.Contains(out, want), "no %q in %s", want, out)
	}
	assert.Check(t, !strings.Contains(out, "i-9"))
}

// Guards against a refusal for a part of a prompt that can't be traced to the crashes under other requests.
func TestTraceShowsCrashesUnderPart(t *testing.T) {
	out := writeTrace(t, readLogs(t, `
{"msg":"a backend server crashed while serving a request","node":"10.1.0.2:80","request":"r-1","server":"i-1","digest":"0a","parts":["01","02"],"answered":false,"time":"10:00:01.000"}
{"msg":"a backend server crashed while serving a request","node":"10.1.0.2:80","request":"r-2","server":"i-2","digest":"0b","parts":["01"],"answered":false,"time":"10:00:02.000"}
{"msg":"request ended","node":"10.1.0.1:80","request":"r-3","outcome":"harmful_part","digest":"0c","part":"02","took_ms":1,"route":"a","workspace":"w","time":"10:00:04.000"}
`), "r-3")
	for _, want := range []string{
		"harmful_part: servers ended under requests that have a part of its prompt",
		"refused for part 02 of its prompt",
		"10:00:01.000  i-1 crashed under attempt r-1\n",
	} {
		assert.Check(t, strings.Contains(out, want), "no %q in %s", want, out)
	}
	assert.Check(t, !strings.Contains(out, "i-2"))
}
