package feed

import (
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// maxUnpackedBytes is the largest size of a packed update as JSON.
const maxUnpackedBytes = 4 << 20

// ErrPacked is returned for a packed update that can't be unpacked, or that is too large.
var ErrPacked = eris.New("packed update is too large or can't be decoded")

// Pack returns an update with its records as compressed text. Nodes that don't know of packed updates see that records are
// left out.
func Pack(update wire.FeedUpdate) (wire.FeedUpdate, error) {
	var text strings.Builder
	encoder := base64.NewEncoder(base64.StdEncoding, &text)
	// Records are repetitive text: the best speed makes them a tenth larger than the default level.
	compressor, err := gzip.NewWriterLevel(encoder, gzip.BestSpeed)
	if err != nil {
		return wire.FeedUpdate{}, eris.Wrap(err, "pack update")
	}
	body, err := json.Marshal(update)
	if err != nil {
		return wire.FeedUpdate{}, eris.Wrap(err, "pack update")
	}
	if len(body) > maxUnpackedBytes {
		return wire.FeedUpdate{}, ErrPacked
	}
	if _, err := compressor.Write(body); err != nil {
		return wire.FeedUpdate{}, eris.Wrap(err, "pack update")
	}
	if err := compressor.Close(); err != nil {
		return wire.FeedUpdate{}, eris.Wrap(err, "pack update")
	}
	if err := encoder.Close(); err != nil {
		return wire.FeedUpdate{}, eris.Wrap(err, "pack update")
	}
	packed := Omit(update)
	packed.Packed = text.String()
	return packed, nil
}

// Unpack returns the update that was packed, with the sender and the age of the packed one, or ErrPacked.
func Unpack(packed wire.FeedUpdate) (wire.FeedUpdate, error) {
	decompressor, err := gzip.NewReader(base64.NewDecoder(base64.StdEncoding, strings.NewReader(packed.Packed)))
	if err != nil {
		return wire.FeedUpdate{}, eris.Wrap(ErrPacked, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(decompressor, maxUnpackedBytes+1))
	if err != nil {
		return wire.FeedUpdate{}, eris.Wrap(ErrPacked, err.Error())
	}
	var update wire.FeedUpdate
	if len(body) > maxUnpackedBytes {
		return wire.FeedUpdate{}, ErrPacked
	}
	if err := json.Unmarshal(body, &update); err != nil {
		return wire.FeedUpdate{}, eris.Wrap(ErrPacked, err.Error())
	}
	if update.Topic != packed.Topic {
		return wire.FeedUpdate{}, eris.Wrapf(ErrPacked, "topic %q in an update of %q", update.Topic, packed.Topic)
	}
	update.Sender, update.AgeMs = packed.Sender, packed.AgeMs
	return update, nil
}
