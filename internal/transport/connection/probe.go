package connection

import "context"

// Probe opens a connection to an address, and keeps it for the next request if that succeeds.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	p.Put(c, 0)
	return nil
}
