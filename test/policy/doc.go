// Package policy measures admission and routing with a fake replica (slots and a service time) and a fake clock.
package policy
