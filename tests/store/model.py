"""What a store is held against: every state it went through, and which of them may be left."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from standins.disk import Crash, Disk
from tansywood.store import Batch, Store, StoreError

State = dict[bytes, bytes]
SMALL = {"segment_bytes": 700, "least_garbage": 600}


@dataclass
class Model:
    """All states in order; `states[n]` is what n writes make."""

    states: list[State] = field(default_factory=lambda: [{}])
    acknowledged: int = 0  # writes that were acknowledged as durable

    def write(self, ops: list[tuple[bytes, bytes | None]]) -> None:
        state = dict(self.states[-1])
        for key, value in ops:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
        self.states.append(state)

    def holds(self, found: State) -> bool:
        """Whether this is a prefix of what was written, with all that was acknowledged."""
        return found in self.states[self.acknowledged :]


def content(store: Store) -> State:
    return dict(store.scan())


def a_write(rng: Random) -> list[tuple[bytes, bytes | None]]:
    """One write: mostly a value, at times a deletion or a batch, at times a big value."""
    count = rng.choice((1, 1, 1, 3))
    ops: list[tuple[bytes, bytes | None]] = []
    for _ in range(count):
        key = b"k%d" % rng.randrange(12)
        if rng.random() < 0.2:
            ops.append((key, None))
        else:
            size = 300 if rng.random() < 0.05 else rng.randrange(40)
            ops.append((key, rng.randbytes(size)))
    return ops


def batch(ops: list[tuple[bytes, bytes | None]]) -> Batch:
    made = Batch()
    for key, value in ops:
        if value is None:
            made.delete(key)
        else:
            made.put(key, value)
    return made


def script(disk: Disk, model: Model, seed: int, writes: int) -> None:
    """Open, write (some durably), compact and close; Crash and StoreError pass through.

    What was attempted is in the model before it is tried: a crash may leave it or not.
    """
    rng = Random(seed)
    store = Store.open(files=disk, **SMALL)  # type: ignore[arg-type]
    for n in range(writes):
        ops = a_write(rng)
        durable = rng.random() < 0.3
        model.write(ops)
        store.write(batch(ops), durable=durable)
        if durable:
            model.acknowledged = len(model.states) - 1
        if n == writes // 2:
            store.compact()
    store.close()
    model.acknowledged = len(model.states) - 1


__all__ = ["SMALL", "Crash", "Model", "StoreError", "a_write", "batch", "content", "script"]
