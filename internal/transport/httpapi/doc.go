// Package httpapi builds HTTP handlers on go-zero's rest, with its shedding, breaking and timing switched off.
package httpapi
