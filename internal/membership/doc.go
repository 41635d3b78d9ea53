// Package membership tracks the entry instances of the fleet: their identities
// and addresses, whether they are alive and whether they accept new work.
//
// Within an availability zone, sibling instances exchange heartbeats. A sibling
// that has been silent for SuspectAfter is suspected. If it is still silent when
// the suspicion has lasted for DeadAfter, it is declared dead; ListedDeadAfter
// applies in place of DeadAfter while the platform lists the instance as live. A
// suspect refutes the suspicion by raising its counter. A process that resumes
// after a pause learns of the suspicion from any sibling. Heartbeats carry a hash
// of the sender's table of the zone, and tables are exchanged only when the
// hashes differ.
//
// Two delegates of each zone, chosen by rendezvous hashing, represent it to the
// other zones. At each gossip interval a delegate compares the versions of all
// zone summaries with a delegate of a randomly chosen zone (anti-entropy). A
// changed summary is pushed at once to Fanout delegates (epidemic broadcast of
// the delta). The gossip interval grows with the number of zones, so that the
// digests cost a delegate no more than GossipBytesPerSecond. The other siblings
// receive summaries from their zone's first delegate, and only when the content
// has changed.
//
// The platform's instance list lags behind the actual state. It names instances
// to contact and announces departures, but it never removes an instance that is
// heard.
//
// Failure modes:
//   - A member that only some siblings can reach raises its counter again and
//     again and remains a member.
//   - A zone that is cut off from the others marks their members as suspected
//     after the silence limit and keeps its own members. Members of a silent zone
//     are dropped only if the list does not name them.
//   - If two siblings cannot hear each other and no third sibling hears both, each
//     declares the other dead. View.ConfirmedUntil bounds how long an instance may
//     act for the zone while a sibling does not reply to it.
//
// Core implements the protocol without I/O; Options configures it.
package membership
