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

// MaxBytes bounds an encoded record.
const MaxBytes = 9 << 20

// Errors of Open.
var (
	ErrTooLong   = eris.New("record too long")
	ErrDamaged   = eris.New("record damaged or not written by this system")
	ErrMalformed = eris.New("record malformed")
)

// Sealer seals and opens records with a shared secret.
type Sealer struct {
	Secret []byte
}

// Seal encodes a value as one record of the named stream.
func (s Sealer) Seal(stream string, value any) (string, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode record")
	}
	return s.code(stream, body) + " " + string(body), nil
}

// Open decodes a record of the named stream into value; a record that every node must ignore gives an error.
func (s Sealer) Open(stream, data string, value any) error {
	if len(data) > MaxBytes {
		return ErrTooLong
	}
	code, body, found := strings.Cut(data, " ")
	if !found {
		return ErrDamaged
	}
	if !hmac.Equal([]byte(code), []byte(s.code(stream, []byte(body)))) {
		return ErrDamaged
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(body)))
	if err := decoder.Decode(value); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func (s Sealer) code(stream string, body []byte) string {
	mac := hmac.New(sha256.New, s.Secret)
	mac.Write([]byte(stream))
	mac.Write([]byte{0})
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}
