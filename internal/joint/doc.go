// Package joint contains stateful fuzz tests that run several control cores together.
// They simulate entry instances in two availability zones, the store, endpoints and
// callers with one event queue. The tests lose and delay messages, kill, replace and
// pause entries, partition zones and make the store unavailable. They compare what
// callers were told with what endpoints ran.
//
// Fuzz tests of a single core are in the package of that core. This package covers
// failures that only occur when the cores interact.
package joint
