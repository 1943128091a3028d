"""The outside world as this project writes it: servers, their list, callers, faults.

For tests, the demo and benchmarks alike. Everything listens on loopback, is driven by a
seed or by hand, and imports no room of the product, but for two: `mass` plays the pure decision
module itself, in simulated time and on no socket, and `scale` the control side of thousands of
nodes, which is the product's own.

    platform    the settings, lists and bytes that the platform's protocol is made of
    ledger      pure: who asked, what ran, what was answered, and which promise was broken
    servers     top-up servers that reset, end, refuse, hang, answer in part, and come back
    registry    the list of servers, which may fail in the same ways
    callers     clients that ask, keep, end and reset as a script says
    process     a node as a process of its own
    faults      system calls that fail in turn, beneath a process, and numbers never reused
    mass        hundreds of nodes in simulated time: the decision module, and models around it
    scale       distribution of configuration at full size, on real sockets, with a verdict
    demo        all of it at once, for half a minute, with a table
"""
