package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrInvalidFrame is returned for a frame that is too long or malformed.
var ErrInvalidFrame = eris.New("peer frame too long or malformed")

// dictionary is the preset flate dictionary: text that most frames contain. Both ends must use the same bytes.
const dictionary = `{"result":{"from":{"members":[{"address":"127.0.0.1:","availability-zone":"","caller-address":"127.0.0.1:",` +
	`"incarnation":17,"name":"","region":"","state":0}],"pools":[{"demand":0,"floor":15,"pool":"engines","wish":15}],` +
	`"revision":0,"leaving-upstreams":["requests":[{"demand-requests":0,"demand-tokens":0,"team":"slices":[{"length-ms":5000,` +
	`"requests-per-second":,"tokens-per-second":,"target":"alive":true},"jsonrpc":"2.0","method":"digest","params":{"id":`

var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(dictionary))
	return w
}}

var decompressors = sync.Pool{New: func() any {
	return flate.NewReaderDict(bytes.NewReader(nil), []byte(dictionary))
}}

// codec is a jsonrpc2 object codec. A frame is a big-endian length of four bytes, then the object as JSON, compressed
// with flate.
type codec struct {
	// maxRead returns the largest frame to read now.
	maxRead func() int
	// receiving counts the bytes of the frames that are being received.
	receiving *allowance
}

// WriteObject writes one frame.
func (codec) WriteObject(stream io.Writer, object any) error {
	frame, err := encodeFrame(object)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one frame into an object; a frame that is too long or can't be decoded gives ErrInvalidFrame, and one
// for which there is no room now ErrBusy.
func (c codec) ReadObject(stream *bufio.Reader, into any) error {
	var header [4]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	size, maxSize := int(binary.BigEndian.Uint32(header[:])), c.maxRead()
	if size > maxSize {
		return ErrInvalidFrame
	}
	if size > uncountedBytes {
		if !c.receiving.take(size, MaxReceivedBytes) {
			return ErrBusy
		}
		defer c.receiving.put(size)
	}
	var compressed bytes.Buffer
	if _, err := io.CopyN(&compressed, stream, int64(size)); err != nil {
		return err
	}
	return decodeFrame(compressed.Bytes(), maxSize, into)
}

// encodeFrame returns an object as a frame, the length included.
func encodeFrame(object any) ([]byte, error) {
	body, err := json.Marshal(object)
	if err != nil {
		return nil, eris.Wrap(err, "encode peer frame")
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrInvalidFrame
	}
	slots := largeCodingSlots
	if len(body) <= smallFrameBytes {
		slots = smallCodingSlots
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	return compressFrame(body)
}

// FrameBytes returns the number of bytes that an object takes on a connection, 0 if it can't be sent.
func FrameBytes(object any) int {
	frame, _ := encodeFrame(object)
	return len(frame)
}

// compressFrame returns the JSON of an object as a frame, the length included.
func compressFrame(body []byte) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, 4))
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&out)
	if _, err := compressor.Write(body); err != nil {
		return nil, eris.Wrap(err, "compress peer frame")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress peer frame")
	}
	frame := out.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame, nil
}

// decodeFrame decodes a frame of at most maxSize bytes, without its length. How large it is shows only when it is
// decompressed: a large one is begun anew once there is a slot for it.
func decodeFrame(compressed []byte, maxSize int, into any) error {
	tooLong, err := decodeInSlot(smallCodingSlots, compressed, min(maxSize, smallFrameBytes), into)
	if tooLong && maxSize > smallFrameBytes {
		_, err = decodeInSlot(largeCodingSlots, compressed, maxSize, into)
	}
	return err
}

func decodeInSlot(slots chan struct{}, compressed []byte, maxSize int, into any) (tooLong bool, err error) {
	slots <- struct{}{}
	defer func() { <-slots }()
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(compressed), []byte(dictionary)); err != nil {
		return false, ErrInvalidFrame
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(maxSize)+1))
	if err != nil || len(body) > maxSize {
		return err == nil, ErrInvalidFrame
	}
	if err := json.Unmarshal(body, into); err != nil {
		return false, eris.Wrap(ErrInvalidFrame, err.Error())
	}
	return false, nil
}
