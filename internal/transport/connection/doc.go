// Package connection pools HTTP/1.1 connections to upstreams and sends one request at a time on each. Unlike net/http it never
// repeats a request by itself, and fails on responses that are not sound HTTP/1.1.
package connection
