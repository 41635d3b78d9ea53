// Package membership knows the entry instances: who they are, where they
// listen, whether they live and whether they take new work.
//
// Within an availability zone siblings exchange heartbeats. One that is silent
// for SuspectAfter is suspected, and declared dead DeadAfter later unless it
// raises its counter; ListedDeadAfter applies in place of DeadAfter as long as
// the platform lists the instance as live. A paused process that resumes learns
// of the suspicion from any sibling and refutes it. Heartbeats carry a hash of
// the sender's table of the zone, and tables are exchanged only when the hashes
// differ.
//
// Between zones, two delegates of each zone, chosen by rendezvous hashing,
// compare versions of zone summaries with a random delegate of another zone at
// each gossip interval (anti-entropy), and push a changed summary at once to a
// few (epidemic delta). The interval stretches so that comparing costs a
// delegate GossipBytesPerSecond at any number of zones. The other siblings get
// summaries from their delegates, and only when content changed.
//
// The platform's list lags. It names instances to contact and announces
// leaving; it never removes an instance that is heard.
//
// How it fails: a member that only some siblings reach raises its counter again
// and again and stays a member. A zone cut off from the others marks their
// members suspected after the silence limit, and keeps its own. Members of a
// silent zone are dropped only when the list does not name them. If siblings
// cannot hear each other and no third one hears both, each declares the other
// dead; View.ConfirmedUntil bounds how long one may act for the zone unheard.
//
// Core is the pure core; Options are its settings.
package membership
