package spread

import (
	"maps"
	"slices"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// maxWant bounds the digests of one request.
const maxWant = 4096

// pull is the state of a pull in progress.
type pull struct {
	peer    membership.Member
	startAt time.Time
	// manifest is what the peer has; its Revision is 0 before the first reply.
	manifest configuration.Manifest
	chunks   configuration.Chunks
	// informed is when the manifest was that of the store, if aged.
	informed time.Time
	aged     bool
	// next is another peer that told of a higher revision meanwhile.
	next         membership.Member
	nextRevision uint64
}

// pullFrom starts a pull, or remembers the peer if one is in progress.
func (c *Core) pullFrom(now time.Time, peer membership.Member, revision uint64) Output {
	if c.pulling != nil && now.Sub(c.pulling.startAt) < c.options.PullTimeout {
		if revision > c.pulling.nextRevision {
			c.pulling.next = peer
			c.pulling.nextRevision = revision
		}
		return Output{}
	}
	c.pulling = &pull{peer: peer, startAt: now, chunks: make(configuration.Chunks)}
	request := PullRequest{Revision: c.manifest.Revision, ChangeID: c.manifest.ChangeID}
	return Output{Pulls: []PullCall{{Peer: peer, Request: request}}}
}

// giveUp ends a pull without an answer and goes on with the next peer.
func (c *Core) giveUp(now time.Time) Output {
	if c.pulling == nil || now.Sub(c.pulling.startAt) < c.options.PullTimeout {
		return Output{}
	}
	return c.endPull(now)
}

// endPull forgets the pull and starts the remembered one if still needed.
func (c *Core) endPull(now time.Time) Output {
	ended := c.pulling
	c.pulling = nil
	if ended == nil || !c.takes(ended.nextRevision) || ended.nextRevision == 0 {
		return Output{}
	}
	return c.pullFrom(now, ended.next, ended.nextRevision)
}

// PullFailed ends the pull from a peer.
func (c *Core) PullFailed(now time.Time, peer string) Output {
	if c.pulling == nil || c.pulling.peer.Instance != peer {
		return Output{}
	}
	return c.endPull(now)
}

// HandlePull answers a pull with a bounded part of the state.
func (c *Core) HandlePull(now time.Time, request PullRequest) PullReply {
	reply := PullReply{AgeMillis: c.Age(now)}
	if len(request.Want) > 0 {
		reply.Chunks = c.fit(request.Want)
		return reply
	}
	reply.Manifest = c.manifest
	reply.Manifest.Chunks = nil
	reply.Sum = c.sum
	names, known := c.history.since(request.Revision, request.ChangeID)
	if !known {
		reply.Set = c.manifest.Chunks
		return reply
	}
	reply.Base = request.Revision
	reply.Manifest.Recent = changesAfter(c.manifest.Recent, request.Revision)
	reply.Set = make(map[string]string, len(names))
	var digests []string
	for _, name := range names {
		digest, kept := c.manifest.Chunks[name]
		if !kept {
			reply.Remove = append(reply.Remove, name)
			continue
		}
		reply.Set[name] = digest
		digests = append(digests, digest)
	}
	reply.Chunks = c.fit(digests)
	return reply
}

func changesAfter(changes []configuration.Change, revision uint64) []configuration.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(ch configuration.Change) bool { return ch.Revision <= revision })
}

// fit returns the chunks held, up to the bound of a reply.
func (c *Core) fit(digests []string) configuration.Chunks {
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

// PullReplied takes a reply to a request that was sent to the peer at sentAt.
func (c *Core) PullReplied(now, sentAt time.Time, peer string, request PullRequest, reply PullReply) Output {
	p := c.pulling
	if p == nil || p.peer.Instance != peer {
		return Output{}
	}
	isFirst := p.manifest.Revision == 0
	if isFirst != (len(request.Want) == 0) {
		return Output{} // the reply to an earlier pull from this peer
	}
	if isFirst && !c.begin(p, sentAt, reply) {
		return c.pullWhole(now, p, reply)
	}
	gained := false
	for digest, content := range reply.Chunks {
		if configuration.Digest(content) == digest {
			p.chunks[digest] = content
			gained = true
		}
	}
	missing := c.missing(p)
	if len(missing) == 0 {
		return c.finish(now, p)
	}
	if !gained && !isFirst {
		return c.endPull(now)
	}
	p.startAt = now
	want := PullRequest{Want: missing[:min(len(missing), maxWant)]}
	return Output{Pulls: []PullCall{{Peer: p.peer, Request: want}}}
}

// pullWhole asks for the whole manifest when a difference did not fit, as
// happens after the store was restored to an older state.
func (c *Core) pullWhole(now time.Time, p *pull, reply PullReply) Output {
	if reply.Base == 0 || !c.takes(reply.Manifest.Revision) {
		return c.endPull(now)
	}
	p.startAt = now
	return Output{Pulls: []PullCall{{Peer: p.peer}}}
}

// begin rebuilds the peer's manifest and checks it.
func (c *Core) begin(p *pull, sentAt time.Time, reply PullReply) bool {
	manifest := reply.Manifest
	if !c.takes(manifest.Revision) {
		return false
	}
	if reply.Base != 0 {
		if reply.Base != c.manifest.Revision {
			return false
		}
		manifest.Chunks = maps.Clone(c.manifest.Chunks)
		change := configuration.Manifest{Recent: c.manifest.Recent}
		for _, recent := range reply.Manifest.Recent {
			change = change.Successor(recent, nil)
		}
		manifest.Recent = change.Recent
	} else {
		manifest.Chunks = make(map[string]string, len(reply.Set))
	}
	maps.Copy(manifest.Chunks, reply.Set)
	for _, name := range reply.Remove {
		delete(manifest.Chunks, name)
	}
	if manifest.Sum() != reply.Sum {
		return false
	}
	p.manifest = manifest
	p.aged = reply.AgeMillis >= 0
	p.informed = sentAt.Add(-time.Duration(reply.AgeMillis) * time.Millisecond)
	return true
}

func (c *Core) missing(p *pull) []string {
	var missing []string
	for _, digest := range p.chunks.Missing(p.manifest) {
		if _, held := c.chunks[digest]; !held {
			missing = append(missing, digest)
		}
	}
	return missing
}

// finish puts a whole pull in force.
func (c *Core) finish(now time.Time, p *pull) Output {
	out, err := c.install(p.manifest, p.chunks, p.peer.Zone)
	if err == nil && p.aged && c.manifest.Revision == p.manifest.Revision {
		c.inform(p.informed)
	}
	out.add(c.endPull(now))
	return out
}
