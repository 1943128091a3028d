"""Several instances whose choices add up: members, allocation of limits, turns, signals.

Pure rules (`members`, `allocation`, `maxmin`, `subsets`, `turns`, `signals`, `instance`): no I/O
and no clock, times are passed in as nanoseconds of one process's monotonic clock and never leave
it. Thin I/O around them (`seal`, `agent`, `tool`). docs/design/fleet.md says why it is so.
"""
