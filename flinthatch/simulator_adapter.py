"""Adapter between a simulator and Balancers: frames of events in, replies of actions out.

The module decides nothing. It decodes a frame, passes each event to the Balancer of the instance
that the event names, and packs the actions of that Balancer into the reply in the order of its
calls.
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

# Integers and floats are big-endian. A frame is a header (sequence number, record count, body size,
# time) and its records; a reply is a header (sequence number, record count, body size) and records.
FRAME_HEADER = struct.Struct(">IIIQ")
REPLY_HEADER = struct.Struct(">III")
LIST_ENTRY = struct.Struct(">HBIBHQf")

# Events: the first byte tells the kind, see SimulatorAdapter.handlers.
TIMER_EVENT = struct.Struct(">BIQ")
START_EVENT = struct.Struct(">BIQI")
LIST_UPDATE_EVENT = struct.Struct(">BIBIH")
STOP_EVENT = struct.Struct(">BI")
CLIENT_GONE_EVENT = struct.Struct(">BII")
RESPONSE_STARTED_EVENT = struct.Struct(">BIIHIQ")
OUTCOME_EVENT = struct.Struct(">BIIIBHQBB")
LIST_EVENT = struct.Struct(">BHI")
REQUEST_EVENT = struct.Struct(">BIIHHQQQB")
PROBE_EVENT = struct.Struct(">BIIQBB")
NOTE_EVENT = struct.Struct(">BIIH")

# Actions, packed by InstanceActions; the first byte tells the kind.
PACK_SEND = struct.Struct(">BIIQI").pack
PACK_REFUSE = struct.Struct(">BIIQ").pack
PACK_FAIL = struct.Struct(">BII").pack
PACK_CANCEL = struct.Struct(">BIIH").pack
PACK_SET_TIMER = struct.Struct(">BIQQ").pack
PACK_PROBE = struct.Struct(">BII").pack
PACK_TEXT_HEADER = struct.Struct(">BIH").pack
PACK_WATCH = struct.Struct(">BIB").pack
PACK_FETCH = struct.Struct(">BI").pack

# Flags of a request event.
COST_HINT_FLAG = 1  # the cost hint is valid
CLIENT_RETRY_FLAG = 2  # the client says that it sends the request again

MAX_BALANCER_COUNT = 1_000_000  # more than a fleet will ever have
EFFECTS = {"pure": Effect.PURE, "token": Effect.TOKEN, "side_effect": Effect.SIDE_EFFECT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class ProtocolError(Exception):
    """Input that violates the protocol, or settings that can't be used; the text says where."""


def settings_from_json(text: bytes) -> Settings:
    """Read Settings from the JSON text of a start event; unknown keys are ignored.

    Raises ProtocolError where a setting can't be used.
    """
    try:
        raw = json.loads(text)
    except ValueError as err:
        raise ProtocolError(f"settings are not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ProtocolError("settings are not a JSON object")
    try:
        return _read_settings(SettingsObject(raw, "settings"))
    except ValueError as err:
        raise ProtocolError(str(err)) from None


def _read_settings(raw: SettingsObject) -> Settings:
    rules, limits = raw.child("rules", required=True), raw.child("limits")
    goal, prices = raw.child("goal"), raw.child("prices")
    balancers = raw.integer("balancers", minimum=1, maximum=MAX_BALANCER_COUNT)
    classes = tuple(
        RequestClass(
            name=class_settings.string("name", str(i)),
            latency_target=class_settings.integer("target", minimum=1),
            deadline=class_settings.integer("deadline", minimum=1),
            effect=class_settings.choice("effect", EFFECTS),
            scope=class_settings.choice("dedup_scope", SCOPES, "all"),
            retry_window=class_settings.integer("repeat_window", 0),
            value=class_settings.number("credit", 1.0),
            late_value=class_settings.number("late_worth", 0.0),
            stream=class_settings.boolean("stream"),
            target_stretch=class_settings.number("aim_stretch", 0.0),
        )
        for i, class_settings in enumerate(raw.children("classes", required=True))
    )
    if not classes:
        raise InvalidSettingError(
            f"{raw.path_of('classes')} is empty: at least one class is wanted"
        )
    tenants = tuple(
        Tenant(
            name=tenant_settings.string("name", str(i)),
            share=tenant_settings.number("portion", 1.0),
            quota_per_s=tenant_settings.number("quota_per_s", 0.0),
        )
        for i, tenant_settings in enumerate(raw.children("realms"))
    )
    load_info = raw.child("load_info")
    return Settings(
        node=raw.integer("me", 0),
        balancers=balancers,
        zone=raw.integer("my_zone", 0),
        zones=max(1, len(raw.strings("areas"))),
        classes=classes,
        tenants=tenants,
        load_columns=load_info.strings("columns")
        if load_info.string("how", "off") != "off"
        else (),
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
    """Actions of one instance's Balancer, each packed as a record of the reply being built."""

    __slots__ = ("balancer", "instance", "records")

    def __init__(self, instance: int, records: list[bytes]) -> None:
        self.instance = instance
        self.records = records
        self.balancer: Balancer | None = None

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.records.append(PACK_SEND(16, self.instance, request, timeout, backend))

    def refuse(self, request: int, retry_after: int) -> None:
        self.records.append(PACK_REFUSE(17, self.instance, request, retry_after))

    def fail(self, request: int) -> None:
        self.records.append(PACK_FAIL(18, self.instance, request))

    def cancel(self, request: int, attempt: int) -> None:
        self.records.append(PACK_CANCEL(19, self.instance, request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        self.records.append(PACK_SET_TIMER(20, self.instance, token, due))

    def probe(self, backend: int) -> None:
        self.records.append(PACK_PROBE(21, self.instance, backend))

    def watch(self) -> None:
        self.records.append(PACK_WATCH(26, self.instance, 1))

    def fetch(self) -> None:
        self.records.append(PACK_FETCH(27, self.instance))

    def log(self, text: str) -> None:
        data = text.encode()[:500]
        self.records.append(PACK_TEXT_HEADER(24, self.instance, len(data)) + data)

    def report_fault(self, text: str) -> None:
        """Report an exception of the balancer."""
        data = text.encode()[:500]
        self.records.append(PACK_TEXT_HEADER(25, self.instance, len(data)) + data)


class SimulatorAdapter:
    """All instances of one process, and the numbered backend lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, InstanceActions] = {}
        self.lists: dict[int, tuple[Listing, ...]] = {}
        self.records: list[bytes] = []
        self.handlers: dict[int, Callable[[int, bytes, int], int]] = {
            16: self.handle_timer,
            17: self.handle_start,
            18: self.handle_list_update,
            19: self.handle_stop,
            20: self.handle_client_gone,
            21: self.handle_response_started,
            22: self.handle_outcome,
            23: self.handle_list,
            24: self.handle_request,
            25: self.handle_probe,
            26: self.handle_note,
        }

    def handle_frame(self, now: int, count: int, body: bytes) -> tuple[int, bytes]:
        """Handle a frame's records; returns the number of records in the reply, and its body."""
        self.records.clear()
        offset = 0
        handlers = self.handlers
        try:
            for _ in range(count):
                handler = handlers.get(body[offset])
                if handler is None:
                    raise ProtocolError(f"unknown event code {body[offset]}")
                offset = handler(now, body, offset)
        except (struct.error, IndexError):
            raise ProtocolError("a record is truncated") from None
        if offset != len(body):
            raise ProtocolError(f"{len(body) - offset} bytes follow the last record of a frame")
        return len(self.records), b"".join(self.records)

    def handle_timer(self, now: int, body: bytes, offset: int) -> int:
        _, instance, token = TIMER_EVENT.unpack_from(body, offset)
        self.notify_balancer(instance, "on_timer", now, token)
        return offset + 13

    def handle_start(self, now: int, body: bytes, offset: int) -> int:
        """Start an instance; one of the same number is replaced and its state is dropped."""
        _, instance, seed, size = START_EVENT.unpack_from(body, offset)
        end: int = offset + 17 + size
        if end > len(body):
            raise ProtocolError("the settings of a start event are truncated")
        settings = settings_from_json(body[offset + 17 : end])
        actions = InstanceActions(instance, self.records)
        self.instances[instance] = actions
        try:
            actions.balancer = Balancer(settings, seed, actions)
            actions.balancer.start(now)
        except Exception as err:
            self.report_exception(instance, err)
        return end

    def handle_list_update(self, now: int, body: bytes, offset: int) -> int:
        """Pass a backend list, which an earlier list event defined, to an instance."""
        _, instance, mode, version, number = LIST_UPDATE_EVENT.unpack_from(body, offset)
        if mode > 3:
            raise ProtocolError(f"unknown list mode {mode}")
        entries: tuple[Listing, ...] = ()
        if mode != Update.FAILED:
            if number not in self.lists:
                raise ProtocolError(f"list {number} was never defined")
            entries = self.lists[number]
        self.notify_balancer(instance, "on_backend_list", now, Update(mode), entries)
        return offset + 12

    def handle_stop(self, now: int, body: bytes, offset: int) -> int:
        _, instance = STOP_EVENT.unpack_from(body, offset)
        self.instances.pop(instance, None)
        return offset + 5

    def handle_client_gone(self, now: int, body: bytes, offset: int) -> int:
        _, instance, request = CLIENT_GONE_EVENT.unpack_from(body, offset)
        self.notify_balancer(instance, "on_client_gone", now, request)
        return offset + 9

    def handle_response_started(self, now: int, body: bytes, offset: int) -> int:
        _, instance, request, attempt, _backend, duration = RESPONSE_STARTED_EVENT.unpack_from(
            body, offset
        )
        self.notify_balancer(instance, "on_response_started", now, request, attempt, duration)
        return offset + 23

    def handle_outcome(self, now: int, body: bytes, offset: int) -> int:
        _, instance, request, _backend, answered, attempt, duration, code, load_count = (
            OUTCOME_EVENT.unpack_from(body, offset)
        )
        if not 1 <= code <= 8:
            raise ProtocolError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{load_count}f", body, offset + 26) if load_count else ()
        actions = self.instances.get(instance)
        if actions is not None and actions.balancer is not None:
            try:
                actions.balancer.on_outcome(
                    now, request, attempt, code, duration, answered != 0, load
                )
            except Exception as err:
                self.report_exception(instance, err)
        return offset + 26 + 4 * int(load_count)

    def handle_list(self, now: int, body: bytes, offset: int) -> int:
        """Define a numbered backend list for the list updates of all instances."""
        _, number, row_count = LIST_EVENT.unpack_from(body, offset)
        end: int = offset + 7 + LIST_ENTRY.size * row_count
        if end > len(body):
            raise ProtocolError("a backend list is truncated")
        entries = []
        for cell, zone, backend, state, hardware_kind, started_at, weight in LIST_ENTRY.iter_unpack(
            body[offset + 7 : end]
        ):
            if state > 2:
                raise ProtocolError(f"unknown backend state {state}")
            entries.append(
                Listing(backend, State(state), zone, cell, hardware_kind, started_at, weight)
            )
        self.lists[number] = tuple(entries)
        return end

    def handle_request(self, now: int, body: bytes, offset: int) -> int:
        _, instance, request, class_number, tenant, key, time_left, hint, flags = (
            REQUEST_EVENT.unpack_from(body, offset)
        )
        actions = self.instances.get(instance)
        if actions is not None and actions.balancer is not None:
            try:
                actions.balancer.on_request(
                    now,
                    request,
                    class_number,
                    time_left,
                    tenant,
                    key,
                    hint if flags & COST_HINT_FLAG else 0,
                    flags & CLIENT_RETRY_FLAG != 0,
                )
            except Exception as err:
                self.report_exception(instance, err)
        return offset + 38

    def handle_probe(self, now: int, body: bytes, offset: int) -> int:
        _, instance, backend, duration, code, load_count = PROBE_EVENT.unpack_from(body, offset)
        if not 1 <= code <= 8:
            raise ProtocolError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{load_count}f", body, offset + 19)
        self.notify_balancer(instance, "on_probe", now, backend, code, duration, load)
        return offset + 19 + 4 * int(load_count)

    def handle_note(self, now: int, body: bytes, offset: int) -> int:
        """Skip a note of another instance: Balancers send none and need none."""
        _, _instance, _peer, size = NOTE_EVENT.unpack_from(body, offset)
        if offset + 11 + size > len(body):
            raise ProtocolError("a note is truncated")
        return offset + 11 + int(size)

    def notify_balancer(self, instance: int, method: str, now: int, *args: Any) -> None:
        """Call a method of an instance's balancer; an unknown instance is ignored."""
        actions = self.instances.get(instance)
        if actions is None or actions.balancer is None:
            return
        try:
            getattr(actions.balancer, method)(now, *args)
        except Exception as err:
            self.report_exception(instance, err)

    def report_exception(self, instance: int, err: Exception) -> None:
        """Report an exception of a balancer with its line; the other instances continue."""
        trace = err.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f" at line {trace.tb_lineno}" if trace is not None else ""
        self.instances[instance].report_fault(f"{type(err).__name__}: {err}{where}")


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer where the input ends."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer frames until the input ends; raises ProtocolError on malformed input."""
    adapter = SimulatorAdapter()
    while True:
        header = read_exactly(stdin, FRAME_HEADER.size)
        if not header:
            return
        if len(header) < FRAME_HEADER.size:
            raise ProtocolError("a frame's header is truncated")
        seq, count, size, now = FRAME_HEADER.unpack(header)
        body = read_exactly(stdin, size)
        if len(body) < size:
            raise ProtocolError("a frame's body is truncated")
        record_count, reply = adapter.handle_frame(now, count, body)
        stdout.write(REPLY_HEADER.pack(seq, record_count, len(reply)) + reply)
        stdout.flush()


def main() -> int:
    """Serve standard input; 2 for malformed input, 1 where the simulator closed the output."""
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
