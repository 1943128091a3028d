"""Leases that give a fleet-wide task one holder at a time: replicated log, leases, fencing tokens.

The package is pure: it does no I/O and reads no clock, and random numbers come from a generator
that the caller passes in. Sockets, simulated time and the model checker all drive the same objects.
docs/design/lease.md explains why two holders never act at the same time.
"""
