package record

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// MaxBytes is the maximum length of an encoded record.
const MaxBytes = 9 << 20

// Errors returned by Open; Seal returns ErrTooLong.
var (
	ErrTooLong   = eris.New("record too long")
	ErrDamaged   = eris.New("record authentication code missing or wrong")
	ErrMalformed = eris.New("record malformed")
)

// Sealer authenticates records with an HMAC under a shared secret; it does not encrypt them.
type Sealer struct {
	Secret []byte
}

// Seal encodes a value as one record of the named stream: the hexadecimal authentication code, a space and the value as
// JSON.
func (s Sealer) Seal(stream string, value any) (string, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode record")
	}
	data := s.mac(stream, body) + " " + string(body)
	if len(data) > MaxBytes {
		return "", eris.Wrapf(ErrTooLong, "record of %d bytes, at most %d", len(data), MaxBytes)
	}
	return data, nil
}

// Open decodes a record of the named stream into value. Every node must ignore a record for which it returns an error.
func (s Sealer) Open(stream, data string, value any) error {
	if len(data) > MaxBytes {
		return ErrTooLong
	}
	code, body, found := strings.Cut(data, " ")
	if !found {
		return ErrDamaged
	}
	if !hmac.Equal([]byte(code), []byte(s.mac(stream, []byte(body)))) {
		return ErrDamaged
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(body)))
	if err := decoder.Decode(value); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// mac returns the first 16 bytes of an HMAC-SHA-256 over the stream name, a zero byte and the body, in hexadecimal.
func (s Sealer) mac(stream string, body []byte) string {
	mac := hmac.New(sha256.New, s.Secret)
	mac.Write([]byte(stream))
	mac.Write([]byte{0})
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}
