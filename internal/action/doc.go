// Package action runs each action at most once.
//
// An action is named by its workspace and its Idempotency-Key. A key
// "<owner>.<unique>" names the entry incarnation that may start it; look-up
// answers give the owner. Only the owner starts the action and its memory
// decides, so that actions go on while the store is out and inside a zone that
// is cut off, and a process that was paused is still the only owner. Any other
// entry passes the call to the owner. A key without an owner gets one by a
// compare-and-set create in the store.
//
// A key is recorded before anything is sent to an upstream. A repeated key
// gets the first answer, a conflict while the action is in progress, or
// "unknown" when nobody can tell whether it ran. A key that is said to be
// "not-run" may be sent again; one that is "unknown" never runs again.
//
// Outcomes are written in groups to one journal value of the incarnation in
// the store. When the owner is gone, other entries answer from its journal and
// never run the action themselves.
//
// Structure: Core and Try are pure state machines. A Try tells by its Step
// what is to be done next, and is told what came of it. Stage carries the
// steps out; it holds one mutex around the core, so that an action does not
// wait behind the control loop. Writer is the pure state of the journal's
// upkeep, Journaling carries it out.
//
// How it fails:
//   - Owner unreachable or gone: the journalled outcome, else "unknown". Only a
//     journal that its owner closed at a planned stop proves "not-run".
//   - Table full: new keys are refused as "not-run"; no key is forgotten
//     before its retention has ended, and later it is refused as expired.
//   - Store out: keys with an owner are not affected, journals fall behind, and
//     a key without an owner is refused as "unknown", since another entry may
//     have claimed it before.
//   - Answer above the bound: a retry gets "ran" with the first status.
//   - Owner killed: outcomes since its last journal write become "unknown".
package action
