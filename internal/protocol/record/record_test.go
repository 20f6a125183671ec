package record

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var sealer = Sealer{Secret: []byte("secret of the tests")}

func TestOpenReturnsSealedRecord(t *testing.T) {
	is := is.New(t)
	want := wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeClaim,
		Key:     "mill/orders/cut-1",
		Attempt: "entry-1-a-1",
	}
	data, err := sealer.Seal("claims-0", want)
	is.NoErr(err)
	var got wire.ClaimRecord
	is.NoErr(sealer.Open("claims-0", data, &got))
	is.Equal(got, want)
}

func TestOpenRefusesEveryChangedByte(t *testing.T) {
	data, err := sealer.Seal("claims-0", wire.ClaimRecord{Key: "k"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		changed := data[:i] + string(data[i]^1) + data[i+1:]
		var got wire.ClaimRecord
		if sealer.Open("claims-0", changed, &got) == nil {
			t.Fatalf("record with changed byte %d was accepted", i)
		}
	}
}

func TestOpenRefusesOtherStreamsSecretsAndSizes(t *testing.T) {
	is := is.New(t)
	data, err := sealer.Seal("claims-0", wire.ClaimRecord{Key: "k"})
	is.NoErr(err)
	var got wire.ClaimRecord
	is.True(sealer.Open("claims-1", data, &got) != nil)
	is.True(Sealer{Secret: []byte("another secret")}.Open("claims-0", data, &got) != nil)
	is.True(sealer.Open("claims-0", strings.Repeat("x", MaxBytes+1), &got) != nil)
	is.True(sealer.Open("claims-0", "", &got) != nil)
}

// TestSealRefusesWhatOpenRefuses guards against records in the log that no node can open.
func TestSealRefusesWhatOpenRefuses(t *testing.T) {
	is := is.New(t)
	for size, ok := range map[int]bool{
		MaxBytes - 200: true,
		MaxBytes:       false,
	} {
		data, err := sealer.Seal("claims-0", wire.ClaimRecord{Key: strings.Repeat("x", size)})
		is.Equal(err == nil, ok)
		is.Equal(errors.Is(err, ErrTooLong), !ok)
		var got wire.ClaimRecord
		is.Equal(sealer.Open("claims-0", data, &got) == nil, ok)
	}
}

func FuzzOpen(f *testing.F) {
	data, err := sealer.Seal("rules", wire.RuleRecord{Type: wire.RuleRecordTypePublish})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add("0 {}")
	f.Fuzz(func(t *testing.T, text string) {
		var r wire.RuleRecord
		if sealer.Open("rules", text, &r) == nil && text != data && !strings.HasPrefix(text, data[:32]) {
			t.Fatal("a record that was not sealed with the secret was accepted")
		}
	})
}
