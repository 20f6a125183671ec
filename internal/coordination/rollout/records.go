package rollout

import "lagoongw/internal/protocol/wire"

// maxKeptBytes is the size of the records that a keptRecords holds at most, unless it holds only one.
const maxKeptBytes = 4 << 20

// keptRecords holds the newest records that were added to it, up to a number and maxKeptBytes.
type keptRecords struct {
	list  []wire.LogRecord
	bytes int
}

// add adds a record and drops the oldest ones beyond the limits. It returns the offset of the newest record that it
// dropped, or noOffset.
func (k *keptRecords) add(entry wire.LogRecord, maxRecords int) (dropped int) {
	k.list = append(k.list, entry)
	k.bytes += len(entry.Data)
	dropped = noOffset
	for len(k.list) > maxRecords || k.bytes > maxKeptBytes && len(k.list) > 1 {
		dropped = k.list[0].Offset
		k.bytes -= len(k.list[0].Data)
		k.list[0] = wire.LogRecord{}
		k.list = k.list[1:]
	}
	return dropped
}
