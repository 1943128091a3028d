"""Distribution of configuration at full size: publisher, distributors and thousands of nodes.

    plan        pure: who holds which tenant, where everybody stands, changes and faults in time
    records     the rows that processes write for the report
    control     commands to a process of the rig and their answers
    publisher   a process: a registry of all tenants and the source above all distributors
    relay       a process: the way from one region to the publisher, which can be cut
    links       connections that can be cut or left unread within a process
    hollow      a process: many nodes' control sides on real sockets, without their data path
    driver      starts the processes, plays the plan, gathers what they wrote
    report      pure: figures and the verdict

Distributors are the product's own processes. Run it: `python -m standins.scale`.
"""
