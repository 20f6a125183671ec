// Package clock provides simulated time for discrete-event simulations.
package clock
