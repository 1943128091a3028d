"""One holder at a time for fleet-wide tasks: a replicated log, leases over it, fencing tokens.

Pure: no I/O, no clock, no random numbers but a generator that is passed in. The same objects are
driven by sockets, by simulated time and by the checker. docs/design/lease.md has the argument.
"""
