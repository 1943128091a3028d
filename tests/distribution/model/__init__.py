"""Publisher, distributors and instances on a simulated network, with faults drawn from a seed.

The shipped cores run as they are; links, clocks, disks and processes are simulated. Messages of
one connection arrive in order or not at all; connections are cut, stall, and lose their tail;
processes restart; the publisher restarts on its disk, on an older copy of it, or without it.

    world         runs all of it: steps of time, the network, the end of all faults
    events        what happens, drawn from the seed
    slow_readers  changes to one resource again and again, for whoever reads slowly
    judgement     the property once all is quiet
    oracle        what the publisher has had of each tenant, in the order of real time
    network       connections and their two ends
    publisher, distributor, instance
    parts         terms, bounds, and the cores that are driven
"""
