"""Paces a backend in slow start, so that all nodes together keep its budget. Pure.

The budget binds the sum of what all nodes send, and no node knows the traffic or the list of
another. Only the few nodes that hold a slot at the backend send to it, which saves it connections.
Three rules make the sum hold whichever nodes these are:

- What a warm backend takes is estimated from this node's traffic, but never above what this node
  knows a backend to be able to do: a node with much traffic would otherwise take itself for the
  mean of all nodes, and its part for a part of many times the fleet's traffic.
- The slots are dealt by the backend's id alone, so that a change of the list, which comes every
  second in a release, does not hand the backend on to other nodes.
- The first attempt waits for a random part of the pause between two, so that the nodes that hold
  the slots, or are restarted, do not all begin at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from flinthatch.interface import SECOND, Settings

# Part of the budget that all nodes together use. The rest covers requests that are heavier than
# the mean, and nodes whose limits, and so their counts of slots, differ.
BUDGET_FRACTION = 0.6
REMOTE_FRACTION = 0.34  # part of a backend's limit that nodes of other zones share


@dataclass(frozen=True, slots=True)
class NodeTraffic:
    """What a node knows of the work that backends do; rates are per second."""

    send_rate: float  # attempts at all backends
    local_answer_rate: float  # good answers of the backends of the node's own zone
    ready_count: int
    local_ready_count: int
    baseline_latency: float  # of an attempt at an uncongested backend, in nanoseconds


def estimate_capacity(traffic: NodeTraffic, node_count: int) -> float:
    """Requests a second that a warm backend takes at least, from all nodes together.

    A backend does one request in the baseline latency at least, and what it answers to this node.
    A node that has sent nothing yet goes by the latency.
    """
    known = max(
        SECOND / max(traffic.baseline_latency, 1.0),
        traffic.local_answer_rate / max(traffic.local_ready_count, 1),
    )
    if not traffic.send_rate:
        return known
    return min(traffic.send_rate * node_count / max(traffic.ready_count, 1), known)


def warm_fraction(settings: Settings, time_left: int) -> float:
    """The part of its capacity that a backend has when its slow start lasts for `time_left`."""
    elapsed = 1.0 - time_left / max(settings.slow_start, 1)
    return settings.slow_start_fraction + (1.0 - settings.slow_start_fraction) * max(
        0.0, min(1.0, elapsed)
    )


def pause_between_attempts(
    settings: Settings, time_left: int, capacity: float, sender_count: float
) -> int:
    """Nanoseconds between two attempts of this node, one of `sender_count` that share the budget.

    All nodes together send at least one request in the overload window: a backend that nobody
    tries would stay unused where there is little traffic.
    """
    rate = (
        BUDGET_FRACTION * settings.overload_factor * warm_fraction(settings, time_left) * capacity
    )
    rate = max(rate, SECOND / max(settings.overload_window, 1))
    return min(int(SECOND * sender_count / rate), max(time_left, 0))


def count_senders(backend_limit: float, node_count: int, is_local: bool, has_remote: bool) -> float:
    """The number of nodes that share the budget as this node does.

    Nodes of the backend's zone and of others share the budget in the same proportion as they share
    the limit.
    """
    zone_part = 1.0
    if has_remote:
        zone_part = (1.0 if is_local else REMOTE_FRACTION) / (1.0 + REMOTE_FRACTION)
    return max(1, min(int(backend_limit + 1.0), node_count)) / zone_part


def first_node_by_id(backend_id: int, node_count: int) -> int:
    """The position of the node that gets the first slot of a backend in slow start."""
    return backend_id % node_count
