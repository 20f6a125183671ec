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

// MaxFrameBytes bounds a frame, packed and unpacked.
const MaxFrameBytes = 10 << 20

// ErrInvalidFrame is returned for a frame that is too long or damaged.
var ErrInvalidFrame = eris.New("peer frame too long or damaged")

// dictionary holds the words that most frames are made of.
const dictionary = `{"result":{"from":{"members":[{"address":"127.0.0.1:","availability-zone":"","caller-address":"127.0.0.1:",` +
	`"incarnation":17,"name":"","region":"","state":0}],"pools":[{"demand":0,"floor":15,"pool":"engines","wish":15}],` +
	`"revision":0,"leaving-upstreams":["requests":[{"demand-requests":0,"demand-tokens":0,"team":"slices":[{"length-ms":5000,` +
	`"requests-per-second":,"tokens-per-second":,"target":"alive":true},"jsonrpc":"2.0","method":"digest","params":{"id":`

var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(dictionary))
	return w
}}

var unpackers = sync.Pool{New: func() any {
	return flate.NewReaderDict(bytes.NewReader(nil), []byte(dictionary))
}}

// codec is a jsonrpc2 object codec: a length of four bytes, then the object as JSON packed with flate.
type codec struct{}

// WriteObject writes one frame.
func (codec) WriteObject(stream io.Writer, object any) error {
	frame, err := encodeFrame(object)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one frame, or ErrInvalidFrame.
func (codec) ReadObject(stream *bufio.Reader, into any) error {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return ErrInvalidFrame
	}
	var packed bytes.Buffer
	if _, err := io.CopyN(&packed, stream, int64(size)); err != nil {
		return err
	}
	return decodeFrame(packed.Bytes(), into)
}

func encodeFrame(object any) ([]byte, error) {
	body, err := json.Marshal(object)
	if err != nil {
		return nil, eris.Wrap(err, "encode peer frame")
	}
	var out bytes.Buffer
	out.Write(make([]byte, 4))
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	packer.Reset(&out)
	if _, err := packer.Write(body); err != nil {
		return nil, eris.Wrap(err, "pack peer frame")
	}
	if err := packer.Close(); err != nil {
		return nil, eris.Wrap(err, "pack peer frame")
	}
	frame := out.Bytes()
	if len(frame) > MaxFrameBytes {
		return nil, ErrInvalidFrame
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame, nil
}

func decodeFrame(packed []byte, into any) error {
	reader := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(packed), []byte(dictionary)); err != nil {
		return ErrInvalidFrame
	}
	body, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil || len(body) > MaxFrameBytes {
		return ErrInvalidFrame
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrap(ErrInvalidFrame, err.Error())
	}
	return nil
}
