package spread

import (
	"maps"
	"slices"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// maxWantedChunks limits the chunk digests in one request.
const maxWantedChunks = 4096

// pull is the state of a pull in progress.
type pull struct {
	peer membership.Member
	// requestedAt is when the last request of the pull was made.
	requestedAt time.Time
	// manifest is the peer's manifest; its Revision is 0 before the first reply.
	manifest configuration.Manifest
	// chunks holds the chunks received so far.
	chunks configuration.Chunks
	// syncedAt is the last time at which the peer knew the manifest to be up to date with the
	// store. It is valid if hasAge is true.
	syncedAt time.Time
	hasAge   bool
	// nextPeer is the peer to pull from after this pull: of those that announced a revision
	// since the pull started, the one with the highest.
	nextPeer     membership.Member
	nextRevision uint64
}

// pullFrom starts a pull. If one is in progress that has not timed out, it keeps the peer as
// the next one to pull from.
func (c *Core) pullFrom(now time.Time, peer membership.Member, revision uint64) Output {
	if c.currentPull != nil && now.Sub(c.currentPull.requestedAt) < c.options.PullTimeout {
		if revision > c.currentPull.nextRevision {
			c.currentPull.nextPeer = peer
			c.currentPull.nextRevision = revision
		}
		return Output{}
	}
	c.currentPull = &pull{peer: peer, requestedAt: now, chunks: make(configuration.Chunks)}
	request := PullRequest{Revision: c.manifest.Revision, ChangeID: c.manifest.ChangeID}
	return Output{Pulls: []PullCall{{Peer: peer, Request: request}}}
}

// expirePull ends a pull whose reply has not come within PullTimeout, and continues with the
// next peer.
func (c *Core) expirePull(now time.Time) Output {
	if c.currentPull == nil || now.Sub(c.currentPull.requestedAt) < c.options.PullTimeout {
		return Output{}
	}
	return c.endPull(now)
}

// endPull ends the current pull. It starts one from the next peer if that announced a
// revision that is still higher than the active one.
func (c *Core) endPull(now time.Time) Output {
	ended := c.currentPull
	c.currentPull = nil
	if ended == nil || !c.accepts(ended.nextRevision) || ended.nextRevision == 0 {
		return Output{}
	}
	return c.pullFrom(now, ended.nextPeer, ended.nextRevision)
}

// HandlePullFailure ends the current pull if it is one from the peer.
func (c *Core) HandlePullFailure(now time.Time, peer string) Output {
	if c.currentPull == nil || c.currentPull.peer.Instance != peer {
		return Output{}
	}
	return c.endPull(now)
}

// HandlePull returns the reply to a peer's pull request. If the request names chunks, the
// reply holds these. Otherwise it holds the difference between the requested revision and the
// active one with the changed chunks, or the digests of all chunks if the history does not go
// back to the requested revision. In each case the total size of the chunks is limited.
func (c *Core) HandlePull(now time.Time, request PullRequest) PullReply {
	reply := PullReply{AgeMillis: c.Age(now)}
	if len(request.WantChunks) > 0 {
		reply.Chunks = c.chunksForReply(request.WantChunks)
		return reply
	}
	reply.Manifest = c.manifest
	reply.Manifest.Chunks = nil
	reply.ManifestSum = c.manifestSum
	chunkNames, inHistory := c.history.changedSince(request.Revision, request.ChangeID)
	if !inHistory {
		reply.ChunkDigests = c.manifest.Chunks
		return reply
	}
	reply.BaseRevision = request.Revision
	reply.Manifest.Recent = changesAfter(c.manifest.Recent, request.Revision)
	reply.ChunkDigests = make(map[string]string, len(chunkNames))
	var digests []string
	for _, name := range chunkNames {
		digest, exists := c.manifest.Chunks[name]
		if !exists {
			reply.RemovedChunks = append(reply.RemovedChunks, name)
			continue
		}
		reply.ChunkDigests[name] = digest
		digests = append(digests, digest)
	}
	reply.Chunks = c.chunksForReply(digests)
	return reply
}

func changesAfter(changes []configuration.Change, revision uint64) []configuration.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(change configuration.Change) bool { return change.Revision <= revision })
}

// chunksForReply returns those of the chunks that this instance holds, up to MaxReplyBytes.
func (c *Core) chunksForReply(digests []string) configuration.Chunks {
	chunks := make(configuration.Chunks)
	size := 0
	for _, digest := range digests {
		content, held := c.chunks[digest]
		if !held {
			continue
		}
		size += len(content)
		if len(chunks) > 0 && size > c.options.MaxReplyBytes {
			break
		}
		chunks[digest] = content
	}
	return chunks
}

// HandlePullReply processes the reply to a pull request that was sent to the peer at sentAt.
// It asks for further chunks until all are there, then activates the revision. The pull ends
// when a reply to such a request brings no valid chunk.
func (c *Core) HandlePullReply(now, sentAt time.Time, peer string, request PullRequest, reply PullReply) Output {
	p := c.currentPull
	if p == nil || p.peer.Instance != peer {
		return Output{}
	}
	isFirst := p.manifest.Revision == 0
	if isFirst != (len(request.WantChunks) == 0) {
		return Output{} // the reply belongs to an earlier pull from this peer
	}
	if isFirst && !c.acceptManifest(p, sentAt, reply) {
		return c.pullFullManifest(now, p, reply)
	}
	receivedAny := false
	for digest, content := range reply.Chunks {
		if configuration.Digest(content) == digest {
			p.chunks[digest] = content
			receivedAny = true
		}
	}
	missing := c.missingForPull(p)
	if len(missing) == 0 {
		return c.completePull(now, p)
	}
	if !receivedAny && !isFirst {
		return c.endPull(now)
	}
	p.requestedAt = now
	followUp := PullRequest{WantChunks: missing[:min(len(missing), maxWantedChunks)]}
	return Output{Pulls: []PullCall{{Peer: p.peer, Request: followUp}}}
}

// pullFullManifest requests the complete manifest, by a request without a revision, after a
// difference could not be applied to the active manifest. This happens after the store was
// restored to an older state, when equal revisions can have different contents.
func (c *Core) pullFullManifest(now time.Time, p *pull, reply PullReply) Output {
	if reply.BaseRevision == 0 || !c.accepts(reply.Manifest.Revision) {
		return c.endPull(now)
	}
	p.requestedAt = now
	return Output{Pulls: []PullCall{{Peer: p.peer}}}
}

// acceptManifest builds the peer's manifest from the reply and, if that is a difference, the
// active manifest. It reports whether the revision is accepted and the result matches the
// peer's digest.
func (c *Core) acceptManifest(p *pull, sentAt time.Time, reply PullReply) bool {
	manifest := reply.Manifest
	if !c.accepts(manifest.Revision) {
		return false
	}
	if reply.BaseRevision != 0 {
		if reply.BaseRevision != c.manifest.Revision {
			return false
		}
		manifest.Chunks = maps.Clone(c.manifest.Chunks)
		merged := configuration.Manifest{Recent: c.manifest.Recent}
		for _, change := range reply.Manifest.Recent {
			merged = merged.Successor(change, nil)
		}
		manifest.Recent = merged.Recent
	} else {
		manifest.Chunks = make(map[string]string, len(reply.ChunkDigests))
	}
	maps.Copy(manifest.Chunks, reply.ChunkDigests)
	for _, name := range reply.RemovedChunks {
		delete(manifest.Chunks, name)
	}
	if manifest.Sum() != reply.ManifestSum {
		return false
	}
	p.manifest = manifest
	p.hasAge = reply.AgeMillis >= 0
	p.syncedAt = sentAt.Add(-time.Duration(reply.AgeMillis) * time.Millisecond)
	return true
}

// missingForPull returns the digests of the chunks that were neither held before the pull nor
// received by it.
func (c *Core) missingForPull(p *pull) []string {
	var missing []string
	for _, digest := range p.chunks.Missing(p.manifest) {
		if _, held := c.chunks[digest]; !held {
			missing = append(missing, digest)
		}
	}
	return missing
}

// completePull activates the revision of a pull that has all chunks, and ends the pull.
func (c *Core) completePull(now time.Time, completed *pull) Output {
	out, err := c.activate(completed.manifest, completed.chunks, completed.peer.Zone)
	if err == nil && completed.hasAge && c.manifest.Revision == completed.manifest.Revision {
		c.recordSync(completed.syncedAt)
	}
	out.add(c.endPull(now))
	return out
}
