package site

// serve runs a plain request once a slot is free.
func (u *upstream) serve(s *Site, a *sending) {
	if u.running >= s.spec.ServiceSlots {
		u.queue = append(u.queue, a)
		return
	}
	u.running++
	s.clock.After(a.request.class.ServiceTime, func() {
		a.request.event(s.clock.Now().Add(s.delay(u.region, a.node.region)))
		s.clock.After(s.delay(u.region, a.node.region), a.complete)
		u.running--
		u.next(s)
	})
}

// next gives a free slot to the first request whose caller still waits.
func (u *upstream) next(s *Site) {
	for len(u.queue) > 0 {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if !a.over {
			u.serve(s, a)
			return
		}
	}
}
