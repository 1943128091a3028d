"""The simulator adapter's frames against hand-written bytes, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from flinthatch.simulator_adapter import ProtocolError, SimulatorAdapter, serve, settings_from_json

ROOT = Path(__file__).resolve().parent.parent

SETTINGS = {
    "balancers": 2,
    "me": 1,
    "classes": [
        {"target": 200_000_000, "deadline": 1_000_000_000, "effect": "pure"},
        {"target": 200_000_000, "deadline": 1_000_000_000, "effect": "side_effect"},
    ],
    "limits": {"max_attempts": 3},
    "rules": {"drain_grace": 1_000_000_000},
    "something_new": {"a": 1},
}


def start_event(instance: int = 3, settings: object = None) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return bytes.fromhex("11") + struct.pack(">IQI", instance, 77, len(text)) + text


def list_event(*backends: int) -> bytes:
    head = bytes.fromhex("17 0000") + struct.pack(">I", len(backends))
    row = "0001 00 {:08x} 01 0000 0000000000000000 3f800000"
    return head + b"".join(bytes.fromhex(row.format(b)) for b in backends)


LIST_UPDATE = bytes.fromhex("12 00000003 02 00000029 0000")
REQUEST = bytes.fromhex(
    "18 00000003 5d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01"
)
OUTCOME_OK = bytes.fromhex("16 00000003 5d3a91c4 03124a07 01 0000 00000000011a49a0 01 00")
STOP = bytes.fromhex("13 00000003")


def frame(*records: bytes, seq: int = 1, now: int = 8_411_168_656) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIIQ", seq, len(records), len(body), now) + body


def serve_frames(data: bytes) -> list[bytes]:
    out = io.BytesIO()
    serve(io.BytesIO(data), out)
    raw, found = out.getvalue(), []
    while raw:
        size = struct.unpack(">III", raw[:12])[2]
        found.append(raw[: 12 + size])
        raw = raw[12 + size :]
    return found


def test_empty_frame_gets_an_empty_reply() -> None:
    data = bytes.fromhex("00000001 00000000 00000000 00000001f568bf90")
    assert serve_frames(data) == [bytes.fromhex("00000001 00000000 00000000")]


def test_request_is_sent_to_the_listed_backend() -> None:
    out = serve_frames(frame(start_event(), list_event(0x03124A07), LIST_UPDATE, REQUEST))[0]
    sent = [r for r in split_records(out) if r[0] == 16]
    assert len(sent) == 1
    assert sent[0][:9] == bytes.fromhex("10 00000003 5d3a91c4")
    assert sent[0][17:] == bytes.fromhex("03124a07")
    assert 0 < int.from_bytes(sent[0][9:17], "big") <= 0x0E4E1C00


def split_records(reply: bytes) -> list[bytes]:
    sizes = {16: 21, 17: 17, 18: 9, 19: 11, 20: 21, 21: 9, 26: 6, 27: 5}
    raw, found = reply[12:], []
    while raw:
        size = sizes[raw[0]] if raw[0] in sizes else 7 + struct.unpack(">H", raw[5:7])[0]
        found.append(raw[:size])
        raw = raw[size:]
    assert len(found) == struct.unpack(">I", reply[4:8])[0]
    return found


def test_instance_restarted_within_a_frame_has_no_state() -> None:
    first = frame(start_event(), list_event(0x03124A07), LIST_UPDATE, REQUEST)
    second = frame(
        STOP, start_event(), list_event(0x03124A07), LIST_UPDATE, OUTCOME_OK, REQUEST, seq=2
    )
    out = serve_frames(first + second)
    assert [r[0] for r in split_records(out[1]) if r[0] == 16] == [16]


def test_events_of_unknown_ids_are_ignored() -> None:
    client_gone = bytes.fromhex("14 00000003 0e6f2b19")
    timer = bytes.fromhex("10 00000003 000000000000004d")
    timer_of_unknown_instance = bytes.fromhex("10 00000009 000000000000004d")
    probe = bytes.fromhex("19 00000003 2c9011f2 0000000000155cc0 01 00")
    note = bytes.fromhex("1a 00000003 00000002 0004 68692037")
    response_started = bytes.fromhex("15 00000003 5d3a91c4 0000 03124a07 00000000008d24d0")
    events = (
        OUTCOME_OK,
        client_gone,
        timer,
        timer_of_unknown_instance,
        probe,
        note,
        response_started,
    )
    assert (
        split_records(
            serve_frames(frame(start_event(), list_event(1), LIST_UPDATE) + frame(*events, seq=2))[
                1
            ]
        )
        == []
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        frame(REQUEST)[:-4],
        frame(b"\x63"),
        frame(REQUEST[:-2]),
        frame(LIST_UPDATE),
        frame(start_event(settings={"classes": []})),
        frame(start_event(settings=[1])),
        frame(list_event(1)[:-3]),
    ],
)
def test_malformed_input_raises(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        serve(io.BytesIO(data), io.BytesIO())


def run_process(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "flinthatch.simulator_adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        env={"PYTHONHASHSEED": seed},
        check=False,
    )


def test_process_ends_with_one_error_line() -> None:
    done = run_process(frame(b"\x63"))
    assert done.returncode == 2
    assert done.stdout == b""
    assert done.stderr.decode().splitlines() == ["flinthatch: unknown event code 99"]


def test_output_does_not_depend_on_the_hash_seed() -> None:
    many = [REQUEST[:5] + struct.pack(">I", i) + REQUEST[9:] for i in range(50)]
    data = frame(start_event(), list_event(*range(100, 140)), LIST_UPDATE) + frame(*many, seq=2)
    one, two = run_process(data, "1"), run_process(data, "2")
    assert one.returncode == two.returncode == 0
    assert one.stdout == two.stdout
    assert len(one.stdout) > 500


def test_exception_in_a_balancer_becomes_a_fault_record() -> None:
    bad_request = REQUEST[:9] + bytes.fromhex("0063") + REQUEST[11:]
    out = split_records(
        serve_frames(frame(start_event(), list_event(1), LIST_UPDATE, bad_request))[0]
    )
    assert out[-1][:5] == bytes.fromhex("19 00000003")
    assert b"unknown request class 99" in out[-1]


def test_instances_share_nothing() -> None:
    adapter = SimulatorAdapter()
    body = start_event(3) + start_event(4) + list_event(1) + LIST_UPDATE
    adapter.handle_frame(1, 4, body)
    assert adapter.instances[3].balancer is not adapter.instances[4].balancer
    second = adapter.instances[4].balancer
    assert second is not None and not second.backends


def test_missing_setting_is_named() -> None:
    with pytest.raises(ProtocolError, match="balancers"):
        settings_from_json(json.dumps({"classes": [], "rules": {}}).encode())
