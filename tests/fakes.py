"""A host for a Balancer that records the actions which the Balancer calls, and test settings."""

from __future__ import annotations

from flinthatch import Balancer, Effect, Listing, RequestClass, Settings, State, Update

MS = 1_000_000
SECOND = 1_000_000_000


class RecordingHost:
    """Records actions in order; an entry of `calls` holds an action's name, then its values."""

    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.retry_afters: list[int] = []  # waits that refused clients were told

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.calls.append(("send", request, backend, timeout))

    def refuse(self, request: int, retry_after: int) -> None:
        self.calls.append(("refuse", request))
        self.retry_afters.append(retry_after)

    def fail(self, request: int) -> None:
        self.calls.append(("fail", request))

    def cancel(self, request: int, attempt: int) -> None:
        self.calls.append(("cancel", request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        self.calls.append(("timer", token, due))

    def probe(self, backend: int) -> None:
        self.calls.append(("probe", backend))

    def watch(self) -> None:
        self.calls.append(("watch",))

    def fetch(self) -> None:
        self.calls.append(("fetch",))

    def log(self, text: str) -> None:
        self.calls.append(("log", text))

    def calls_named(self, name: str) -> list[tuple[object, ...]]:
        """The recorded calls of one action, in order."""
        return [call for call in self.calls if call[0] == name]


PURE = RequestClass("pure", 200 * MS, 1000 * MS, Effect.PURE)
UNSAFE = RequestClass("unsafe", 200 * MS, 1000 * MS, Effect.SIDE_EFFECT, retry_window=SECOND)
KEYED = RequestClass("keyed", 200 * MS, 1000 * MS, Effect.TOKEN, retry_window=60 * MS)


def ready_listings(count: int, zone: int = 0, first: int = 100) -> list[Listing]:
    return [Listing(first + i, State.READY, zone) for i in range(count)]


def build_balancer(
    settings: Settings | None = None, count: int = 4, seed: int = 1
) -> tuple[Balancer, RecordingHost]:
    host = RecordingHost()
    balancer = Balancer(
        settings or Settings(classes=(PURE, UNSAFE, KEYED), max_attempts=4), seed, host
    )
    balancer.start(0)
    balancer.on_backend_list(0, Update.CACHED, ready_listings(count))
    return balancer, host
