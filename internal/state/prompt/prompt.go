package prompt

// Part is a run of prompt tokens that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the parts of a request's prompt in their order; the last one belongs to the request or to its session.
type Prompt []Part

// Tokens returns the length of the whole prompt.
func (p Prompt) Tokens() int {
	total := 0
	for _, part := range p {
		total += part.Tokens
	}
	return total
}

// AffinityKey returns the part by which requests are kept together: the last shared one, or the only one.
func (p Prompt) AffinityKey() uint64 {
	switch len(p) {
	case 0:
		return 0
	case 1:
		return p[0].ID
	}
	return p[len(p)-2].ID
}
