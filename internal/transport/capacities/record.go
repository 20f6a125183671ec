package capacities

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/protocol/wire"
)

const (
	// recordKey is the key of the record of the ordered numbers.
	recordKey = "capacity"
	// saveTimeout limits the save of the record, so that a slow store does not delay the next decision for longer.
	saveTimeout = time.Second
)

// takeOver takes over the numbers of the former holder when the duty was gained. A lease that is in force again with the same
// number was not held by another node since, and the records are those from when it was gained first.
func (s *Service) takeOver(number int) {
	if number == s.formerNumber || s.Records == nil {
		return
	}
	s.former, s.formerNumber, s.saved = nil, number, nil
	value := s.Records()[recordKey]
	if len(value) == 0 {
		return
	}
	var record wire.CapacityOrders
	if err := json.Unmarshal(value, &record); err != nil {
		s.Logger.Warn().Err(err).Str("decision", "capacity").Msg("ordered numbers of the former holder can't be decoded")
		return
	}
	s.former, s.saved = record.Orders, value
}

// formerOrders returns what was last ordered for a pool.
func (s *Service) formerOrders(pool string) []capacity.Order {
	var orders []capacity.Order
	for _, row := range s.former {
		if row.Service == pool {
			orders = append(orders, capacity.Order{
				Pool:    pool,
				Zone:    row.Zone,
				Desired: row.Desired,
				Spot:    row.Spot,
			})
		}
	}
	return orders
}

// note notes the ordered numbers, with those of the orders that are about to be sent. The numbers of pools that are not listed
// now remain, since the platform keeps to them.
func (s *Service) note(orders []planned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wire.CapacityOrder{}
	for _, row := range s.former {
		if s.planners[row.Service] == nil {
			rows = append(rows, row)
		}
	}
	for _, planner := range s.planners {
		for _, order := range planner.Ordered() {
			sameSubject := func(due planned) bool {
				return due.Pool == order.Pool && due.Zone == order.Zone && due.Spot == order.Spot
			}
			if i := slices.IndexFunc(orders, sameSubject); i >= 0 {
				order.Desired = orders[i].Desired
			}
			if order.Desired > 0 {
				rows = append(rows, wire.CapacityOrder{
					Service: order.Pool,
					Zone:    order.Zone,
					Spot:    order.Spot,
					Desired: order.Desired,
				})
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b wire.CapacityOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	s.former = rows
}

// save saves the ordered numbers if they have changed since they were last saved.
func (s *Service) save(ctx context.Context) {
	value, err := json.Marshal(wire.CapacityOrders{Orders: s.former})
	if err != nil || bytes.Equal(value, s.saved) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := s.Save(ctx, recordKey, value); err != nil {
		s.saved = nil // The record may have been saved or not.
		s.Logger.Warn().Err(err).Str("decision", "capacity").Msg("ordered numbers not saved")
		return
	}
	s.saved = value
}
