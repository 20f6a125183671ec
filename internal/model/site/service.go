package site

// serve runs a request at a plain service, or queues it until a slot is free.
func (u *upstream) serve(s *Site, a *upstreamAttempt) {
	if u.running >= s.spec.ServiceSlots {
		u.queue = append(u.queue, a)
		return
	}
	u.running++
	s.clock.After(a.request.class.ServiceTime, func() {
		a.request.recordEvent(s.clock.Now().Add(s.delay(u.region, a.node.region)))
		s.clock.After(s.delay(u.region, a.node.region), a.complete)
		u.running--
		u.serveNext(s)
	})
}

// serveNext gives a free slot to the first queued request that has not ended.
func (u *upstream) serveNext(s *Site) {
	for len(u.queue) > 0 {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if !a.ended {
			u.serve(s, a)
			return
		}
	}
}
