// Package capacity decides how many upstreams of a pool to order, of which kind, and in which availability zones. Its
// state machines get the demand and the list of upstreams, and return orders.
package capacity
