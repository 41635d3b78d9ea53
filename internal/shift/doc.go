// Package shift limits the traffic that other regions send into this one.
//
// Two quotas of the region hold against all senders together: the bytes per
// second of its link, and the shift cap, which is how much the rate of shifted
// requests may grow in a second. Both are only ever divided. Each zone of the
// region has an equal part, and each entry of a zone an equal part of that, by
// the largest number of entries that it has seen in the last hold time. An
// entry that has just started, or on which its siblings may no longer count,
// has no part. So the parts add up to the whole at most, while entries come, go
// and pause.
//
// The ramp counts admitted requests in windows of one second: a window admits
// what the window before it admitted and this entry's part of the cap. A shift
// that stops starts again from nothing, since the caches that it warmed cool.
// Requests of a window are spread over it.
//
// The link's bucket is debited for every byte that has crossed the link,
// refused requests included, so it can be in debt; while it is, nothing is
// admitted.
//
// How it fails: the parts of zones without live entries go unused; an entry cut
// off from its siblings admits nothing from other regions after it is no longer
// confirmed. A bound of 0 is no bound.
package shift
