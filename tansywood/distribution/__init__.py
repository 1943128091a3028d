"""Distributes configuration from one publisher, through distributors, to the instances.

`replica` holds the resources as of one position in a history, `source` serves a replica to its
subscribers, `subscriber` follows a source, `interest` decides which tenants an instance subscribes
to, and `rollout` sums up acknowledgements. These modules do no I/O and read no clock: events and
the time go in, messages and actions come out. `stream`, `server` and `client` connect them to
sockets.
"""
