package feed

import "lagoongw/internal/protocol/wire"

// recordOverhead is the number of bytes that a record takes beside its key and value.
const recordOverhead = 64

// Size returns the number of bytes that an update holds.
func Size(update wire.FeedUpdate) int {
	size := recordOverhead + len(update.Packed)
	for _, record := range update.Records {
		size += len(record.Key) + len(record.Value) + recordOverhead
	}
	return size
}

// Omit returns an update without its records. A peer that has not come as far sees that records are missing. It gets those of
// a packed update from another node.
func Omit(update wire.FeedUpdate) wire.FeedUpdate {
	return wire.FeedUpdate{
		Topic:     update.Topic,
		Sender:    update.Sender,
		Era:       update.Era,
		FreshFrom: update.FreshFrom,
		From:      update.Next,
		Next:      update.Next,
		Omitted:   true,
		Coming:    update.Coming || update.Packed != "",
	}
}

// Join returns the update to send in place of one that waits and a newer one. If their records don't follow each other,
// or take more than maxBytes, it carries none. A packed update takes the place of the one that waits, and stays while nothing
// newer follows.
func Join(waiting, newer wire.FeedUpdate, maxBytes int) wire.FeedUpdate {
	switch {
	case newer.Whole || newer.Packed != "":
		return newer
	case waiting.Packed != "" && newer.Era == waiting.Era && newer.Next <= waiting.Next && !newer.Omitted:
		return waiting
	case waiting.Omitted || newer.Omitted || waiting.Era != newer.Era || newer.From > waiting.Next:
		return Omit(newer)
	}
	joined := newer
	joined.Whole = waiting.Whole
	joined.From = min(waiting.From, newer.From)
	joined.Next = max(waiting.Next, newer.Next)
	joined.FreshFrom = min(waiting.FreshFrom, newer.FreshFrom)
	joined.Records = append(append([]wire.FeedRecord{}, waiting.Records...), newer.Records...)
	if Size(joined) > maxBytes {
		return Omit(newer)
	}
	return joined
}
