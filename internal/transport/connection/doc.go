// Package connection pools HTTP/1.1 connections to upstreams and sends one request at a time on each. It never repeats
// a request by itself, unlike net/http.
package connection
