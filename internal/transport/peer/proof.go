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

// proof binds a name and both nonces to the shared secret; side keeps one side's proof from serving as the other's.
func proof(secret []byte, side, name, callerNonce, listenerNonce string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(strings.Join([]string{side, name, callerNonce, listenerNonce}, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

func sameProof(a, b string) bool {
	return hmac.Equal([]byte(a), []byte(b))
}
