// Package estimate predicts service times and output lengths from those of finished requests.
package estimate
