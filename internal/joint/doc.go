// Package joint holds the stateful fuzzing of the control cores together:
// entry instances in two availability zones, the store, endpoints and callers
// as events in one queue. Its tests lose and delay messages, kill, replace and
// pause entries, cut zones off and take the store down, and compare what
// callers were told with what endpoints ran.
//
// The fuzzing of one core stands next to that core. This package is for what
// only shows between them.
package joint
