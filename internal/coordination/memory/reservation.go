package memory

// Reservation is what one holder has reserved for one use, so that it can be returned as a whole. It is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	use    Use
	bytes  int64
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation(use Use) Reservation {
	return Reservation{
		budget: b,
		use:    use,
	}
}

// Bytes returns the number of bytes that are reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Grow reserves more bytes, and reports whether they were free.
func (r *Reservation) Grow(bytes int64) bool {
	if !r.budget.Reserve(r.use, bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Resize changes the reservation to a size, and reports whether that was free; a smaller size always is.
func (r *Reservation) Resize(bytes int64) bool {
	if bytes > r.bytes {
		return r.Grow(bytes - r.bytes)
	}
	if bytes < r.bytes {
		r.budget.Release(r.use, r.bytes-bytes)
		r.bytes = bytes
	}
	return true
}
