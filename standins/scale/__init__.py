"""Distribution of configuration at full size: publisher, distributors and thousands of nodes.

    places      pure: regions, zones, and how long a message takes between two of them
    changes     pure: the mixture of changes
    plan        pure: who holds which tenant, where everybody stands, changes and faults in time
    records     rows of what happened, for the report
    control     commands to a process of the rig and their answers
    documents   the tenants that there are from the start
    publisher   a process: the shipped administration over a store of all tenants
    relay       a process: the way from one region to the publisher, which takes time and can be cut
    delay       a way on which everything takes the same time
    links       connections that take time and can be cut or left unread within a process
    life        one start of a hollow node
    hollow      a process: many nodes' control sides on real sockets, without their data path
    idle        a process that does nothing, for comparison
    standstill  how long a process does nothing else
    processes   starts and ends processes, distributors among them
    rig         all processes of a run
    calls       changes as calls of the API
    faults      begins and ends the faults of a plan
    costs       counters of all processes
    trail       what the publisher's store holds in the end
    driver      plays a plan, gathers what was written
    history     pure: what each node put into force and when
    report      pure: figures and the verdict

Distributors are the product's own processes. Run it: `python -m standins.scale`.
"""
