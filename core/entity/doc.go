// Package entity holds the tables and plain records that the core's systems
// work on. Nothing here reads a clock, a socket or a random source.
package entity
