"""The load balancer node: sockets and processes around the decisions of flinthatch.

The design is described in docs/design.md.
"""
