"""The platform's protocol as plain data: settings, lists of servers, requests, answers."""

from __future__ import annotations

import itertools
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

IDS = itertools.count()

SETTINGS: dict[str, Any] = {
    "areas": ["east", "west"],
    "balancers": 1,
    "me": 0,
    "my_zone": 0,
    "skus": ["m2"],
    "registry_mode": "ask",
    "tick": 5_000_000,
    "classes": [
        {
            "name": "balance",
            "target": 1_800_000_000,
            "deadline": 2_000_000_000,
            "effect": "pure",
            "credit": 1.0,
        },
        {
            "name": "credit",
            "target": 1_800_000_000,
            "deadline": 3_000_000_000,
            "effect": "side_effect",
            "credit": 5.0,
        },
    ],
    "limits": {
        "max_attempts": 4,
        "dial_timeout": 250_000_000,
        "idle_close": 60_000_000_000,
        "max_retry_after": 2_000_000_000,
        "retry_after": True,
        "probes": True,
        "cancelling": True,
    },
    "load_info": {"how": "off", "columns": []},
    "rules": {
        "ask_within": 10_000_000_000,
        "drain_grace": 2_000_000_000,
        "cold": 8_000_000_000,
        "cold_from": 0.3,
        "fall": 1_500_000_000,
        "fall_multiple": 3.0,
        "grace_to_answer": 20_000_000,
    },
}


def target(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> dict[str, object]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "east",
        "model": "m2",
        "pod_group": 1,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


def roster(*targets: dict[str, object], rev: int = 1, whole: bool = True) -> dict[str, object]:
    return {"rev": rev, "all": whole, "targets": list(targets)}


def config(
    folder: Path, known: dict[str, object], discovery: int, port: int = 0, **over: Any
) -> dict[str, str]:
    """Write a node's configuration into a folder; returns the environment that names it.

    `settings` and `limits` are merged into the usual ones, other keys replace theirs.
    """
    listen = f"127.0.0.1:{port}"
    raw = {
        "name": "n0",
        "listen": listen,
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256} | over.pop("limits", {}),
        "known": known,
        "settings": SETTINGS | over.pop("settings", {}),
    } | over
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {"PROXY_CONFIG": str(path), "PROXY_LISTEN": listen, "PROXY_NAME": "n0"}


def request(
    path: str = "/balance/7f3a",
    body: bytes | None = None,
    timeout: int = 1500,
    rid: str = "",
    more: Mapping[str, str] | None = None,
    **headers: str,
) -> bytes:
    """A request's bytes; a header named x_y is sent as X-Y, an empty one left out. `more` are
    headers as well, for those who have them at hand.

    Each has an id of its own where none is given.
    """
    lines = {
        "Host": "app.svc",
        "X-Request-ID": rid or f"r-{next(IDS)}",
        "X-Priority-Class": path.split("/")[1],
        "X-Tenant-Id": "acme",
        "X-Timeout-Ms": str(timeout),
    } | {name.replace("_", "-"): value for name, value in {**(more or {}), **headers}.items()}
    if body is not None and "Content-Length" not in lines:
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
    method = "GET" if body is None else "POST"
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + (body or b"")


def answer(body: bytes = b"", status: str = "200 OK", *headers: str) -> bytes:
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


def parts(head: bytes) -> tuple[str, dict[str, str]]:
    """A message's head, without its empty line: the first line, and the headers by lower name."""
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:])}
