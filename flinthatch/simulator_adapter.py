"""The bench's wire: frames in, events to one Balancer per instance, actions out.

Nothing is decided here. A frame is decoded, each event is handed to the
instance it names, and what that instance's Balancer calls for is packed into
the reply in the order of the calls.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from flinthatch.balancer import Balancer
from flinthatch.interface import (
    MS,
    SECOND,
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)
from flinthatch.settings_reader import InvalidSettingError, SettingsObject

HEAD = struct.Struct(">IIIQ")
REPLY = struct.Struct(">III")
ENTRY = struct.Struct(">HBIBHQf")

EV_TIMER = struct.Struct(">BIQ")
EV_HELLO = struct.Struct(">BIQI")
EV_MEMBERS = struct.Struct(">BIBIH")
EV_STOP = struct.Struct(">BI")
EV_LEFT = struct.Struct(">BII")
EV_STARTED = struct.Struct(">BIIHIQ")
EV_RESOLVED = struct.Struct(">BIIIBHQBB")
EV_CATALOG = struct.Struct(">BHI")
EV_ACCEPT = struct.Struct(">BIIHHQQQB")
EV_PROBED = struct.Struct(">BIIQBB")
EV_NOTE = struct.Struct(">BIIH")

SUBMIT = struct.Struct(">BIIQI").pack
TURN_AWAY = struct.Struct(">BIIQ").pack
DROP = struct.Struct(">BII").pack
WITHDRAW = struct.Struct(">BIIH").pack
SCHEDULE = struct.Struct(">BIQQ").pack
CHECK = struct.Struct(">BII").pack
TEXT = struct.Struct(">BIH").pack
WATCH = struct.Struct(">BIB").pack
PULL = struct.Struct(">BI").pack

HINT_VALID = 1
CLIENT_RETRY = 2

MANY = 1_000_000  # nodes of one tier, more than there will be
EFFECTS = {"pure": Effect.PURE, "token": Effect.TOKEN, "side_effect": Effect.SIDE_EFFECT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class ProtocolError(Exception):
    """The input is not what the wire describes; the text says where."""


def settings_from_json(text: bytes) -> Settings:
    """Turn the wire's settings object into Settings; unknown keys are skipped."""
    try:
        raw = json.loads(text)
    except ValueError as err:
        raise ProtocolError(f"settings are not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ProtocolError("settings are not a JSON object")
    try:
        return _settings(SettingsObject(raw, "settings"))
    except ValueError as err:
        raise ProtocolError(str(err)) from None


def _settings(raw: SettingsObject) -> Settings:
    rules, limits = raw.child("rules", required=True), raw.child("limits")
    goal, prices = raw.child("goal"), raw.child("prices")
    balancers = raw.integer("balancers", minimum=1, maximum=MANY)
    classes = tuple(
        RequestClass(
            name=c.string("name", str(i)),
            latency_target=c.integer("target", minimum=1),
            deadline=c.integer("deadline", minimum=1),
            effect=c.choice("effect", EFFECTS),
            scope=c.choice("dedup_scope", SCOPES, "all"),
            retry_window=c.integer("repeat_window", 0),
            value=c.number("credit", 1.0),
            late_value=c.number("late_worth", 0.0),
            stream=c.boolean("stream"),
            target_stretch=c.number("aim_stretch", 0.0),
        )
        for i, c in enumerate(raw.children("classes", required=True))
    )
    if not classes:
        raise InvalidSettingError(
            f"{raw.path_of('classes')} is empty: at least one class is wanted"
        )
    tenants = tuple(
        Tenant(
            name=t.string("name", str(i)),
            share=t.number("portion", 1.0),
            quota_per_s=t.number("quota_per_s", 0.0),
        )
        for i, t in enumerate(raw.children("realms"))
    )
    info = raw.child("load_info")
    return Settings(
        node=raw.integer("me", 0),
        balancers=balancers,
        zone=raw.integer("my_zone", 0),
        zones=max(1, len(raw.strings("areas"))),
        classes=classes,
        tenants=tenants,
        load_columns=info.strings("columns") if info.string("how", "off") != "off" else (),
        ask=raw.string("registry_mode", "push") == "ask",
        ask_within=rules.integer("ask_within", 10 * SECOND),
        drain_grace=rules.integer("drain_grace", 0),
        slow_start_fraction=rules.number("cold_from", 0.1),
        slow_start=rules.integer("cold", 0),
        overload_factor=rules.number("fall_multiple", 1.0),
        overload_window=rules.integer("fall", SECOND),
        answer_slack=rules.integer("grace_to_answer", 0),
        max_attempts=limits.integer("max_attempts", 1, minimum=1),
        allow_hedging=limits.boolean("second_copies"),
        can_cancel=limits.boolean("cancelling"),
        can_probe=limits.boolean("probes"),
        clients_mark_retries=raw.child("clients").boolean("marks_retry"),
        max_retry_after=limits.integer("max_retry_after", 0)
        if limits.boolean("retry_after")
        else 0,
        connect_timeout=limits.integer("dial_timeout", 250 * MS, minimum=MS),
        tick=raw.integer("tick", MS),
        worst_class_weight=goal.number("worst_class", 0.0),
        cross_zone_price=prices.number("cross_zone", 0.0),
        weighted=raw.string("weights", "off") in ("nominal", "rough"),
    )


class InstanceActions:
    """Actions of one instance: packs each call into the reply being built."""

    __slots__ = ("balancer", "me", "out")

    def __init__(self, me: int, out: list[bytes]) -> None:
        self.me = me
        self.out = out
        self.balancer: Balancer | None = None

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.out.append(SUBMIT(16, self.me, request, timeout, backend))

    def refuse(self, request: int, retry_after: int) -> None:
        self.out.append(TURN_AWAY(17, self.me, request, retry_after))

    def fail(self, request: int) -> None:
        self.out.append(DROP(18, self.me, request))

    def cancel(self, request: int, attempt: int) -> None:
        self.out.append(WITHDRAW(19, self.me, request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        self.out.append(SCHEDULE(20, self.me, token, due))

    def probe(self, backend: int) -> None:
        self.out.append(CHECK(21, self.me, backend))

    def watch(self) -> None:
        self.out.append(WATCH(26, self.me, 1))

    def fetch(self) -> None:
        self.out.append(PULL(27, self.me))

    def log(self, text: str) -> None:
        data = text.encode()[:500]
        self.out.append(TEXT(24, self.me, len(data)) + data)

    def fault(self, text: str) -> None:
        data = text.encode()[:500]
        self.out.append(TEXT(25, self.me, len(data)) + data)


class SimulatorAdapter:
    """All instances of one process, and the numbered lists they point at."""

    def __init__(self) -> None:
        self.nodes: dict[int, InstanceActions] = {}
        self.lists: dict[int, tuple[Listing, ...]] = {}
        self.out: list[bytes] = []
        self.readers: dict[int, Callable[[int, bytes, int], int]] = {
            16: self.timer,
            17: self.hello,
            18: self.members,
            19: self.stop,
            20: self.left,
            21: self.started,
            22: self.resolved,
            23: self.catalog,
            24: self.accept,
            25: self.probed,
            26: self.note,
        }

    def batch(self, now: int, count: int, body: bytes) -> tuple[int, bytes]:
        """Handle one frame's records; returns the reply's record count and body."""
        self.out.clear()
        at = 0
        readers = self.readers
        try:
            for _ in range(count):
                reader = readers.get(body[at])
                if reader is None:
                    raise ProtocolError(f"unknown event code {body[at]}")
                at = reader(now, body, at)
        except (struct.error, IndexError):
            raise ProtocolError("a record is cut short") from None
        if at != len(body):
            raise ProtocolError(f"{len(body) - at} bytes are left after the last record")
        return len(self.out), b"".join(self.out)

    def timer(self, now: int, body: bytes, at: int) -> int:
        _, inst, token = EV_TIMER.unpack_from(body, at)
        self.call(inst, "on_timer", now, token)
        return at + 13

    def hello(self, now: int, body: bytes, at: int) -> int:
        _, inst, seed, size = EV_HELLO.unpack_from(body, at)
        end: int = at + 17 + size
        if end > len(body):
            raise ProtocolError("the settings are cut short")
        settings = settings_from_json(body[at + 17 : end])
        node = InstanceActions(inst, self.out)
        self.nodes[inst] = node
        try:
            node.balancer = Balancer(settings, seed, node)
            node.balancer.start(now)
        except Exception as err:
            self.broken(inst, err)
        return end

    def members(self, now: int, body: bytes, at: int) -> int:
        _, inst, mode, version, number = EV_MEMBERS.unpack_from(body, at)
        if mode > 3:
            raise ProtocolError(f"unknown list mode {mode}")
        entries: tuple[Listing, ...] = ()
        if mode != Update.FAILED:
            if number not in self.lists:
                raise ProtocolError(f"list {number} was never given")
            entries = self.lists[number]
        self.call(inst, "on_backend_list", now, Update(mode), entries)
        return at + 12

    def stop(self, now: int, body: bytes, at: int) -> int:
        _, inst = EV_STOP.unpack_from(body, at)
        self.nodes.pop(inst, None)
        return at + 5

    def left(self, now: int, body: bytes, at: int) -> int:
        _, inst, request = EV_LEFT.unpack_from(body, at)
        self.call(inst, "on_client_gone", now, request)
        return at + 9

    def started(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, attempt, _backend, taken = EV_STARTED.unpack_from(body, at)
        self.call(inst, "on_response_started", now, request, attempt, taken)
        return at + 23

    def resolved(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, _backend, done, attempt, taken, code, n = EV_RESOLVED.unpack_from(
            body, at
        )
        if not 1 <= code <= 8:
            raise ProtocolError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{n}f", body, at + 26) if n else ()
        node = self.nodes.get(inst)
        if node is not None and node.balancer is not None:
            try:
                node.balancer.on_outcome(now, request, attempt, code, taken, done != 0, load)
            except Exception as err:
                self.broken(inst, err)
        return at + 26 + 4 * int(n)

    def catalog(self, now: int, body: bytes, at: int) -> int:
        _, number, n = EV_CATALOG.unpack_from(body, at)
        end: int = at + 7 + ENTRY.size * n
        if end > len(body):
            raise ProtocolError("a list is cut short")
        entries = []
        for cell, zone, backend, state, kind, boot, rating in ENTRY.iter_unpack(body[at + 7 : end]):
            if state > 2:
                raise ProtocolError(f"unknown backend state {state}")
            entries.append(Listing(backend, State(state), zone, cell, kind, boot, rating))
        self.lists[number] = tuple(entries)
        return end

    def accept(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, cls, tenant, key, left, hint, flags = EV_ACCEPT.unpack_from(body, at)
        node = self.nodes.get(inst)
        if node is not None and node.balancer is not None:
            try:
                node.balancer.on_request(
                    now,
                    request,
                    cls,
                    left,
                    tenant,
                    key,
                    hint if flags & HINT_VALID else 0,
                    flags & CLIENT_RETRY != 0,
                )
            except Exception as err:
                self.broken(inst, err)
        return at + 38

    def probed(self, now: int, body: bytes, at: int) -> int:
        _, inst, backend, taken, code, n = EV_PROBED.unpack_from(body, at)
        if not 1 <= code <= 8:
            raise ProtocolError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{n}f", body, at + 19)
        self.call(inst, "on_probe", now, backend, code, taken, load)
        return at + 19 + 4 * int(n)

    def note(self, now: int, body: bytes, at: int) -> int:
        _, _inst, _peer, size = EV_NOTE.unpack_from(body, at)
        if at + 11 + size > len(body):
            raise ProtocolError("a note is cut short")
        return at + 11 + int(size)

    def call(self, inst: int, method: str, now: int, *args: Any) -> None:
        """Hand one event to its instance; one it does not have is skipped."""
        node = self.nodes.get(inst)
        if node is None or node.balancer is None:
            return
        try:
            getattr(node.balancer, method)(now, *args)
        except Exception as err:
            self.broken(inst, err)

    def broken(self, inst: int, err: Exception) -> None:
        """A decision raised: say so on the wire for that instance alone."""
        trace = err.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f" at line {trace.tb_lineno}" if trace is not None else ""
        self.nodes[inst].fault(f"{type(err).__name__}: {err}{where}")


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read size bytes, or fewer where the input ends."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer frames until the input ends; WireError on anything malformed."""
    drill = SimulatorAdapter()
    while True:
        head = read_exactly(stdin, HEAD.size)
        if not head:
            return
        if len(head) < HEAD.size:
            raise ProtocolError("a frame's header is cut short")
        seq, count, size, now = HEAD.unpack(head)
        body = read_exactly(stdin, size)
        if len(body) < size:
            raise ProtocolError("a frame is cut short")
        n, reply = drill.batch(now, count, body)
        stdout.write(REPLY.pack(seq, n, len(reply)) + reply)
        stdout.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as err:
        print(f"flinthatch: {err}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
