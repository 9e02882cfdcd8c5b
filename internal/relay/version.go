// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/verdict"
)

// Reasons for which a stream can't go on.
const (
	// ReasonVersionUnknown means that no host is known to know which software version began it.
	ReasonVersionUnknown verdict.Reason = "version_unknown"
	// ReasonVersionGone means that the version that began it has no server left.
	ReasonVersionGone verdict.Reason = "version_gone"
)

// versionEvidence is how a host knows which software version began a stream.
type versionEvidence string

const (
	// evidenceFirstEvent means that this host forwarded the first event.
	evidenceFirstEvent versionEvidence = "first_event"
	// evidenceHandover means that the host that handed the stream over said so.
	evidenceHandover versionEvidence = "handover"
	// evidenceRecord means that the record of the attempt that began the stream was found.
	evidenceRecord versionEvidence = "record"
	// evidenceOnlyVersion means that all servers of the service have had one version.
	evidenceOnlyVersion versionEvidence = "only_version"
)

// takeUpSlack is added to the time limit of a route to get the time within which a stream that is taken up has
// begun: a server that leaves the list gets requests until all hosts know.
const takeUpSlack = 5 * time.Second

// Origins records which services and software versions began streams, by the attempts that brought their
// first events.
type Origins interface {
	// Record records what began the stream of an attempt.
	Record(attempt, origin string)
	// Find returns what began the stream of an attempt, if a host that may know it is
	// reached.
	Find(ctx context.Context, attempt string) option.Value[string]
}

// noOrigins knows no streams.
type noOrigins struct{}

func (noOrigins) Record(string, string) {}

func (noOrigins) Find(context.Context, string) option.Value[string] { return option.Value[string]{} }

// Versions knows which software versions servers have had. It is safe for concurrent use.
type Versions interface {
	// During returns the versions that the servers of a service have had within window, in ascending order,
	// and whether these are known to be all as of a time, which is not in the future.
	During(ctx context.Context, service string, window time.Duration, asOf time.Time) (versions []string, complete bool)
}

// noVersions knows no versions.
type noVersions struct{}

func (noVersions) During(context.Context, string, time.Duration, time.Time) ([]string, bool) {
	return nil, false
}

// streamOrigin is what began a stream. A route may have several services, whose versions have nothing to do
// with each other.
type streamOrigin struct {
	service, version string
}

// String returns the text form: the length of the service's name, a colon, the name, and the version.
func (o streamOrigin) String() string {
	return strconv.Itoa(len(o.service)) + ":" + o.service + o.version
}

// parseOrigin returns the origin with a text form.
func parseOrigin(text string) (streamOrigin, bool) {
	digits, rest, ok := strings.Cut(text, ":")
	length, err := strconv.Atoi(digits)
	if !ok || err != nil || length < 0 || length > len(rest) {
		return streamOrigin{}, false
	}
	return streamOrigin{service: rest[:length], version: rest[length:]}, true
}

// bindVersion finds out which software version may go on with a stream that the caller or another host has
// the first events of.
func (s *stream) bindVersion(ctx context.Context) error {
	j := s.job
	if !j.route.Resumable || j.boundVersion().IsPresent() {
		return nil
	}
	text, evidence := j.Version, evidenceHandover
	if !text.IsPresent() && !j.Continues {
		return nil
	}
	if !text.IsPresent() && j.Origin != "" {
		text, evidence = j.core.options.Origins.Find(ctx, j.Origin), evidenceRecord
	}
	if known, ok := text.Get(); ok {
		return s.goOnFrom(known, evidence)
	}
	if len(j.route.Targets) > 1 {
		j.core.scope.Counter("streams_of_unknown_version").Inc(1)
		return j.refuse(ReasonVersionUnknown, minRetryAfter, "nobody knows which service and version began the stream of %q", j.Origin)
	}
	versions, complete := j.core.options.Versions.During(ctx, j.service.Name, j.route.Timeout+takeUpSlack, j.Arrived)
	if complete && len(versions) == 1 {
		j.takeUp(versions[0], evidenceOnlyVersion)
		return s.checkVersion()
	}
	j.core.scope.Counter("streams_of_unknown_version").Inc(1)
	return j.refuse(ReasonVersionUnknown, minRetryAfter, "nobody knows which version began the stream of %q, seen %q, all known: %t", j.Origin, versions, complete)
}

// goOnFrom makes a stream go on at the service and version that began it.
func (s *stream) goOnFrom(text string, evidence versionEvidence) error {
	j := s.job
	origin, ok := parseOrigin(text)
	if !ok {
		return j.refuse(ReasonVersionUnknown, minRetryAfter, "the record %q of the stream can't be read", text)
	}
	if origin.service != j.service.Name {
		service := j.catalog.Service(origin.service)
		if service == nil || !j.route.hasTarget(origin.service) {
			return j.refuse(ReasonVersionGone, fullRetryAfter, "the route does not name the service %s any more, which began the stream", origin.service)
		}
		j.service = service
	}
	j.takeUp(origin.version, evidence)
	return s.checkVersion()
}

// takeUp binds a stream that has begun elsewhere to a software version.
func (j *job) takeUp(version string, evidence versionEvidence) {
	j.bindVersion(version, evidence)
	j.core.scope.Tagged(map[string]string{"evidence": string(evidence)}).Counter("streams_taken_up").Inc(1)
}

// checkVersion refuses a stream at once if no server of its software version may go on with it.
func (s *stream) checkVersion() error {
	j := s.job
	version, bound := j.boundVersion().Get()
	if !bound || j.core.servers.anyOfVersion(j.service.Name, version, j.regions) {
		return nil
	}
	j.core.scope.Counter("streams_of_gone_version").Inc(1)
	return j.refuse(ReasonVersionGone, fullRetryAfter, "no server of %s has the version %q, which began the stream", j.service.Name, version)
}

// recordVersion binds the stream to the software version of the server that sent its first event, and lets
// other hosts know it.
func (s *stream) recordVersion(a *attempt) {
	j := s.job
	if !j.route.Resumable {
		return
	}
	j.bindVersion(a.engine.Version, evidenceFirstEvent)
	j.recordFirstServer(a.engine.Instance)
	version, evidence, _ := j.streamStart()
	if evidence == evidenceOnlyVersion {
		// A record may say more, and must not be replaced.
		return
	}
	attempt := j.ID
	if j.Continues {
		attempt = j.Origin
	}
	if attempt != "" {
		bound, _ := version.Get()
		j.core.options.Origins.Record(attempt, streamOrigin{service: j.service.Name, version: bound}.String())
	}
}

// originToHandOver returns what began the stream, for another host; absent before its first event.
func (j *job) originToHandOver() option.Value[string] {
	version, bound := j.boundVersion().Get()
	if !bound {
		return option.Value[string]{}
	}
	return option.Some(streamOrigin{service: j.service.Name, version: version}.String())
}

// otherVersions returns the servers that the stream must not go on at.
func (j *job) otherVersions() []string {
	version, bound := j.boundVersion().Get()
	if !bound {
		return nil
	}
	return j.core.servers.ofOtherVersions(j.service.Name, version)
}

// fits reports whether the stream may go on at a server.
func (j *job) fits(s Server) bool {
	version, bound := j.boundVersion().Get()
	return !bound || s.Version == version
}

// chooseFitting chooses an engine for a stream that its owner has none for, because the engines of its
// software version are not among those that the owner places it at.
func (s *stream) chooseFitting(ctx context.Context) (Server, bool) {
	j := s.job
	if !j.boundVersion().IsPresent() {
		return Server{}, false
	}
	except := slices.Concat(j.triedInstances, s.unavailable, s.silent, j.otherVersions())
	for {
		engine, ok := j.core.servers.choosePlain(j.service.Name, idleFirstEventTime(j.Request), j.regions, except)
		if !ok || ctx.Err() != nil {
			return Server{}, false
		}
		if j.acquirePermit(ctx, engine) {
			return engine, true
		}
		except = append(except, engine.Instance)
	}
}

// anyOfVersion reports whether any server of a service with a software version accepts work in the given
// regions, now or after a pause.
func (s *serverSet) anyOfVersion(service, version string, regions Regions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.serversOf(service), func(k *server) bool {
		return k.Version == version && !k.Closed() && regions.Allow(k.Region)
	})
}

// hasVersion reports whether the server of a service at an address has a software version.
func (s *serverSet) hasVersion(service string, address netip.AddrPort, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.serversOf(service), func(k *server) bool {
		return k.Address == address && k.Version == version
	})
}

// ofOtherVersions returns the servers of a service whose software version is another one.
func (s *serverSet) ofOtherVersions(service, version string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []string
	for _, k := range s.serversOf(service) {
		if k.Version != version {
			others = append(others, k.Instance)
		}
	}
	return others
}
