"""Configuration from one publisher over distributors to the instances that need it.

`replica` holds state at a position of a history, `source` serves it to sessions, `subscriber`
follows a source, `interest` decides what an instance subscribes to, `rollout` sums up
acknowledgements. These are pure: events and the time go in, messages and actions come out.
`stream`, `server` and `client` put them on sockets.
"""
