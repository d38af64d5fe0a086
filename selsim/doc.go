// Package selsim holds tests and benchmarks of the selection of targets by packages place and
// hedge in a fleet that is simulated in virtual time; see docs/design/near.md and
// docs/design/hedge.md. It has no other code.
package selsim
