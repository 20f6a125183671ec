package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

func newNonce() string {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}

// computeProof returns the HMAC-SHA256 of a role, the caller's name and both nonces under the shared secret, in
// hexadecimal.
//
// The role is included so that the proof of one side is not valid as that of the other.
func computeProof(secret []byte, role, name, callerNonce, listenerNonce string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(strings.Join([]string{role, name, callerNonce, listenerNonce}, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

func equalProofs(a, b string) bool {
	return hmac.Equal([]byte(a), []byte(b))
}
