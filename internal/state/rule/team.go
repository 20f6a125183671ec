package rule

import (
	"crypto/sha256"
	"encoding/hex"
)

// Team is a caller with its token hash and its limits; a limit of zero means none.
type Team struct {
	name              string
	tokenHash         string
	requestsPerSecond float64
	tokensPerSecond   float64
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// RequestsPerSecond returns the team's limit on requests, zero for none.
func (t *Team) RequestsPerSecond() float64 { return t.requestsPerSecond }

// TokensPerSecond returns the team's limit on generated tokens, zero for none.
func (t *Team) TokensPerSecond() float64 { return t.tokensPerSecond }

// HashToken returns the form in which a token stands in a rule file: SHA-256 in lower-case hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
