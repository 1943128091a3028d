"""Scale tests: the cost of each part of a node by size, and at the size expected."""
