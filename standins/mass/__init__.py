"""Hundreds of nodes before modelled servers, on one clock, in one process.

For what harms no node by itself and all of them together. Every node is a `Balancer` of its
own, seeded apart, told nothing but what its events say; servers, connections, the list, the
network and the callers are models. Time is simulated, so a day of 200 nodes takes seconds,
and the same seed gives the same bytes.

    clock      events in order of time, and of their making where times are equal
    day        what a day is made of: sizes, rates, shares of traffic, troubles, by a seed
    servers    a server's cores, waiting room, connections, cold start; it may fall over
    listing    the list: late, of fixed capacity, asked or watched
    fleet      nodes, callers and network around them; keeps the accounts
    policies   what the module is measured against: random choice, and one that sees all
    report     where the worth went

`python -m standins.mass KIND` plays a day and prints the report.
"""
