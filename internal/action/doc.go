// Package action runs each action at most once.
//
// An action is identified by its workspace and its Idempotency-Key. A key of the
// form "<owner>.<unique>" names the entry incarnation that may start the action;
// the answers of the lookup service contain the owner to use. Only the owner
// starts the action, and the decision is made from the owner's memory alone.
// Actions therefore continue while the store is down and inside a zone that is
// cut off, and a process that was paused is still the only owner. Any other
// entry forwards the call to the owner. A key without an owner gets one by a
// compare-and-set create in the store.
//
// A key is recorded before anything is sent to an upstream. A repeated key
// gets the first answer, a conflict while the action is in progress, or the
// outcome "unknown" when nobody can tell whether the action ran. A key whose
// outcome was reported as "not-run" may be sent again. One whose outcome was
// recorded as "unknown" is never run again.
//
// Outcomes are written in batches to the store, in one journal value for each
// incarnation. When the owner is gone, other entries answer from its journal
// and never run the action themselves.
//
// Structure: Core and Attempt are pure state machines. Each Step that an
// Attempt returns names the operation to carry out next, whose result is then
// passed back to the Attempt. Stage carries the steps out; it holds one mutex
// around the core, so that an action does not wait behind the control loop.
// JournalWriterState is the pure state of writing the journal, and
// JournalWriter carries out its operations.
//
// Failure modes:
//   - Owner unreachable or gone: the caller gets the journalled outcome, or
//     "unknown" without one. Only a journal that its owner closed at a planned
//     stop proves "not-run".
//   - Table full: new keys are refused as "not-run". No key is evicted before
//     its retention has ended, and an evicted key is refused as expired.
//   - Store down: keys with an owner are not affected, journals are written
//     late, and a key without an owner is refused as "unknown", since another
//     entry may have claimed it before.
//   - Answer larger than the limit: a retry gets "ran" with the first status.
//   - Owner killed: outcomes since its last journal write become "unknown".
package action
