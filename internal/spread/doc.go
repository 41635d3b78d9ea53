// Package spread brings each revision of the configuration to every instance.
//
// Two watchers in each region, chosen by rendezvous hashing over the live
// members, watch the manifest in the store. A watcher that takes a revision
// tells the two delegates of each zone of its region, a delegate tells its
// siblings, and whoever hears of a higher revision pulls it from the teller.
// Independently each instance compares revisions with a sibling and with an
// instance of another zone at each interval (anti-entropy), which closes every
// gap that a lost message, a dead watcher or a partition left.
//
// A pull moves the difference to the puller's revision: the chunk names that
// changed and the chunks behind them. It is checked against the digest of the
// whole manifest before it is put in force, so that an instance never holds a
// mix of two revisions. An instance takes only a higher revision than its own.
// Nothing is taken from whom the membership does not list: a message can at
// most cause a pull from a listed member.
//
// Exchanges carry how long ago the sender's state was that of the store. A
// receiver adopts that age only for a state it holds itself, counted from when
// it sent its own question; an instance whose age passes a workspace's
// isolation time refuses that workspace.
//
// A withdrawal that lovagectl pushes is proved by the key's withdrawal token,
// takes effect at once, and is passed on until the manifest has the tombstone.
// An instance that has known a withdrawal never forgets it while it runs.
//
// How it fails. With the store out, instances keep their revision and new
// instances take the highest among their peers. A zone that is cut off keeps
// its revision until its isolation times end. A store that was restored to an
// older state does not lower any instance; changes made on it are ignored
// until their revision passes the one in force. A peer that sends wrong
// content is ignored and the pull is tried with the next peer.
package spread
