"""A fleet of instances that share tenants' limits: membership, allocation, turns, evidence.

The rules are pure (`members`, `allocation`, `maxmin`, `subsets`, `turns`, `signals`, `instance`):
they do no I/O and read no clock. Times are passed in as nanoseconds of one process's monotonic
clock and are never sent to another process. `seal` encrypts datagrams; the sockets are outside
this package. docs/design/fleet.md gives the reasons for the design.
"""
