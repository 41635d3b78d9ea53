// Package shift limits the traffic that other regions send into this one.
//
// Two quotas of the region apply to all senders together: the bytes per second of its
// link, and the shift cap, which is how much the rate of shifted requests may grow in
// one second. Both are divided among the entries of the region. Each zone has an
// equal fraction, and each entry of a zone an equal fraction of that, by the largest
// number of entries that it has seen within the hold time. An entry that has just
// started, or that the other entries of its zone may no longer count as alive, has no
// fraction. So the fractions add up to at most the whole, even while entries start,
// end and pause.
//
// The ramp counts admitted requests in windows of one second: a window admits as many
// as the previous window plus this entry's fraction of the cap. After a window
// without admitted requests the ramp starts again from zero, since the caches that
// the shifted traffic has warmed get cold. The requests of a window are spread over
// it.
//
// The bucket of the link is debited for every byte that has crossed the link,
// including those of refused requests, so its level can become negative. Nothing is
// admitted until the level is positive again.
//
// Failures: the fractions of zones without live entries are not used. An entry that
// is cut off from the others of its zone admits nothing from other regions once its
// confirmation has expired. A quota of 0 means no limit.
package shift
