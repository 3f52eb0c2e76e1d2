// Package entity defines the data types that the systems of the core work on:
// records, the in-memory table that stores them, and messages between VMs.
// Nothing here reads a clock, a socket or a random source.
package entity
