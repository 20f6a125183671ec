package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

func sampleDigest(rows int) wire.Digest {
	row := func(i int) wire.Member {
		return wire.Member{
			Name:             fmt.Sprintf("entry-%03d", i),
			Incarnation:      1_790_000_000_000 + i*7919,
			Address:          fmt.Sprintf("10.20.%d.%d:8081", i%7, i*37%250),
			CallerAddress:    fmt.Sprintf("10.20.%d.%d:8080", i%7, i*37%250),
			AvailabilityZone: []string{"lom-a", "lom-b", "ven-a"}[i%3],
			Region:           []string{"lombardia", "lombardia", "veneto"}[i%3],
		}
	}
	digest := wire.Digest{
		From:     row(0),
		Revision: 123456,
		Pools: []wire.PoolRow{
			{
				Pool:   "engines",
				Demand: 42,
				Floor:  15,
				Wish:   15,
			},
			{
				Pool:   "orders",
				Demand: 3,
				Floor:  15,
				Wish:   15,
			},
		},
	}
	for i := range rows {
		digest.Members = append(digest.Members, row(i+1))
	}
	return digest
}

func newTestCodec() codec {
	return codec{
		maxRead:   func() int { return MaxAnswerBytes },
		receiving: &allowance{},
	}
}

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	is.NoErr(codec{}.WriteObject(&stream, sampleDigest(3)))
	var got wire.Digest
	is.NoErr(newTestCodec().ReadObject(bufio.NewReader(&stream), &got))
	is.Equal(got, sampleDigest(3))
}

func TestInvalidFramesAreRejected(t *testing.T) {
	frame, err := encodeFrame(sampleDigest(3))
	if err != nil {
		t.Fatal(err)
	}
	tooLong := make([]byte, 4)
	binary.BigEndian.PutUint32(tooLong, MaxAnswerBytes+1)
	bomb, err := compressFrame([]byte(`"` + strings.Repeat("a", MaxAnswerBytes) + `"`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = encodeFrame(strings.Repeat("a", MaxAnswerBytes))
	is.New(t).True(err != nil) // no peer would read it
	for name, data := range map[string][]byte{
		"length too long":    tooLong,
		"ends early":         frame[:len(frame)/2],
		"not compressed":     append([]byte{0, 0, 0, 5}, "hello"...),
		"decompression bomb": bomb,
		"empty":              {0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var got any
			is.New(t).True(newTestCodec().ReadObject(bufio.NewReader(bytes.NewReader(data)), &got) != nil)
		})
	}
}

func FuzzFrame(f *testing.F) {
	frame, err := encodeFrame(sampleDigest(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame[4:])
	f.Add([]byte("hello"))
	f.Fuzz(func(t *testing.T, compressed []byte) {
		var digest wire.Digest
		if decodeFrame(compressed, MaxAnswerBytes, &digest) != nil {
			return
		}
		reencoded, err := encodeFrame(digest)
		if err != nil {
			t.Fatal(err)
		}
		var got wire.Digest
		if err := decodeFrame(reencoded[4:], MaxAnswerBytes, &got); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkFrame measures the frame size and the encode and decode time of a digest by its number of members.
func BenchmarkFrame(b *testing.B) {
	for _, rows := range []int{1, 3, 6} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			digest := sampleDigest(rows)
			size := 0
			for b.Loop() {
				frame, err := encodeFrame(digest)
				if err != nil {
					b.Fatal(err)
				}
				var got wire.Digest
				if err := decodeFrame(frame[4:], MaxAnswerBytes, &got); err != nil {
					b.Fatal(err)
				}
				size = len(frame)
			}
			b.ReportMetric(float64(size), "bytes/frame")
		})
	}
}

// TestSmallFramesDontWaitForLargeOnes guards against probes that timed out behind whole topics, so that live members were
// declared dead.
func TestSmallFramesDontWaitForLargeOnes(t *testing.T) {
	is := is.New(t)
	for range maxCoding {
		largeCodingSlots <- struct{}{}
	}
	done := make(chan error, 1)
	go func() {
		frame, err := encodeFrame(sampleDigest(6))
		if err == nil {
			var got wire.Digest
			err = decodeFrame(frame[4:], MaxAnswerBytes, &got)
		}
		done <- err
	}()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(waitTimeout):
		is.Fail() // a small frame waits for a large one
	}
	go func() {
		_, err := encodeFrame(strings.Repeat("a", 1<<20))
		done <- err
	}()
	select {
	case err := <-done:
		is.NoErr(err)
		is.Fail() // a large frame doesn't wait
	case <-time.After(10 * time.Millisecond):
	}
	for range maxCoding {
		<-largeCodingSlots
	}
	is.NoErr(<-done)
}
