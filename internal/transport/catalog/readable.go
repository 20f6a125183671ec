package catalog

import (
	"fmt"
	"hash/crc32"
	"slices"
	"unicode/utf8"

	"lagoongw/internal/protocol/wire"
)

// maxUnreadableBytes is the size up to which the value of an entry that can't be decoded is kept.
const maxUnreadableBytes = 1 << 10

// readable returns the records of upstreams with what other writers may have put among them made harmless: records whose keys
// are not text are left out, since peers would get them under other keys, and long or binary values that can't be decoded are
// replaced by a description. Such values grow severalfold in the messages to peers, up to their size limit.
func (f *follower) readable(records []wire.FeedRecord) []wire.FeedRecord {
	if f.decode == nil || !slices.ContainsFunc(records, isOdd) {
		return records
	}
	replaced := slices.Clone(records)
	replaced = slices.DeleteFunc(replaced, func(record wire.FeedRecord) bool { return !utf8.ValidString(record.Key) })
	for i, record := range replaced {
		if !isOdd(record) {
			continue
		}
		if _, err := f.decode(record.Key, []byte(record.Value)); err != nil {
			replaced[i].Value = fmt.Sprintf("unreadable entry of %d bytes, checksum %08x", len(record.Value),
				crc32.ChecksumIEEE([]byte(record.Value)))
		}
	}
	return replaced
}

// isOdd reports whether a record is long or no text.
func isOdd(record wire.FeedRecord) bool {
	return len(record.Value) > maxUnreadableBytes || !utf8.ValidString(record.Value) || !utf8.ValidString(record.Key)
}
