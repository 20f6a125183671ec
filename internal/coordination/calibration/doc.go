// Package calibration learns how fast the engines of a pool are from what the nodes see of their answers: the times to
// first events, the pauses between events, and what else is known to run at the engine. No make of engine is built in.
package calibration
