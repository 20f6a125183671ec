package rule

import (
	"crypto/sha256"
	"encoding/hex"
)

// Team is a group of callers that share a token and rate limits. A limit of zero means no limit.
type Team struct {
	name              string
	tokenHash         string
	requestsPerSecond float64
	tokensPerSecond   float64
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// RequestsPerSecond returns the team's limit on requests per second, zero for none.
func (t *Team) RequestsPerSecond() float64 { return t.requestsPerSecond }

// TokensPerSecond returns the team's limit on generated tokens per second, zero for none.
func (t *Team) TokensPerSecond() float64 { return t.tokensPerSecond }

// HashToken returns the SHA-256 of a token in lower-case hexadecimal, the format in which a rule file stores tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
