// Package spread propagates each configuration revision to every entry instance.
//
// Dissemination: in each region two watchers, selected by rendezvous hashing over the live
// members, watch the configuration manifest in the store. A watcher that activates a new
// revision notifies the two delegates of each zone of its region. The delegates of a zone
// notify each other, and each of them notifies its share of the zone's other instances (the
// siblings). An instance that is notified of a higher revision pulls it from the sender.
//
// Anti-entropy: at each interval every instance exchanges summaries with one random sibling
// and one random instance of another zone. This repairs what lost messages, crashed watchers
// and partitions left out.
//
// A pull transfers the difference between two revisions: the names of the chunks that
// changed, and the contents of these chunks. The pulling instance checks the result against
// the digest of the complete manifest before it activates the revision, so that it never
// uses a mix of two revisions. It activates only revisions higher than its own. It pulls
// only from members of the membership list, so that a message from any other sender cannot
// change the configuration, except for a withdrawal with a valid token.
//
// Freshness: a reply to an exchange or a pull carries the time since the sender's
// configuration was known to be up to date with the store. The receiver adopts this age only
// for a revision that it holds itself, and counts it from the time at which it sent its own
// request, so that the age is never too low. An instance refuses a workspace when the age
// exceeds the isolation time of the workspace.
//
// Withdrawal: lovagectl can push the withdrawal of a key to an instance. It is proved by the
// key's withdrawal token and takes effect at once. The instance passes it on until the
// manifest records the withdrawal. An instance remembers every withdrawal as long as it
// runs.
//
// Failure modes: without the store, instances keep their revision, and new instances take
// the highest revision of their peers. A zone that is cut off keeps its revision and refuses
// its workspaces as their isolation times end. If the store is restored to an older state,
// no instance goes back to a lower revision; changes made in the restored store are ignored
// until their revision exceeds the active one. Content that does not match its digest is
// discarded, and the next peer that announced a higher revision is tried.
package spread
