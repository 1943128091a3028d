"""Publisher, distributors and instances on a simulated network, with faults drawn from a seed.

The production classes (Source, Subscriber, Replica) run unchanged; links, clocks, disks and
processes are simulated. Messages of one connection arrive in order or not at all. Connections are
cut, stall, and lose the messages under way. Processes restart, the publisher on its disk, on an
older copy of the disk, or without a disk.

    world         runs the whole model: steps of time, the network, the end of all faults
    events        draws faults and changes from the seed
    slow_readers  changes one resource repeatedly while its subscribers read nothing
    judgement     checks the property after all faults have ended
    oracle        records the states of each tenant in the order of real time
    network       simulates connections and their two ends
    publisher, distributor, instance: the simulated processes
    parts         parameters and bounds of the model, and the classes under test
"""
