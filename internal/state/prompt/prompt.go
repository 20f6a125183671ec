package prompt

// Part is a sequence of consecutive prompt tokens that several requests may share. ID identifies its content.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt lists the parts of a prompt in order. The last part is specific to the request or to its session.
type Prompt []Part

// Tokens returns the length of the prompt in tokens.
func (p Prompt) Tokens() int {
	total := 0
	for _, part := range p {
		total += part.Tokens
	}
	return total
}

// AffinityKey returns the ID of the part by which requests are routed to the same engine: the last shared part, or the
// only part. It returns 0 for an empty prompt.
func (p Prompt) AffinityKey() uint64 {
	switch len(p) {
	case 0:
		return 0
	case 1:
		return p[0].ID
	}
	return p[len(p)-2].ID
}
