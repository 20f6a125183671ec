// Package estimate learns service times and output lengths from what was observed.
package estimate
