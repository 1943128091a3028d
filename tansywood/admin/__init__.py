"""The administration: its API, who may do what, and the feed to the traffic side.

A process of its own, so that it can never delay a caller. It decides nothing about routing and
holds no caller's socket: it keeps the tenants, in a store, and tells of every change that is
durable.
"""
