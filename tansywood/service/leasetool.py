"""`python -m tansywood lease ...`: who holds what, why nobody does, and work under a lease."""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

from tansywood.service.fleettool import WAIT_S, NoFleet, ask, read_one, socket_of, table
from tansywood.service.wire import frame

ASKED = ("list", "show", "why", "hand-over", "found", "refound", "run")
TOKEN = "TANSYWOOD_TOKEN"
LOST = 75  # sysexits.h, EX_TEMPFAIL: the lease went while the command ran
REFOUND_S = 90.0  # it waits for the longest lease first
GRACE_S = 0.2  # of a command that has to end, before it is killed


def add_to(verbs: Any) -> None:
    """The verb and its own."""
    lease = verbs.add_parser(
        "lease",
        help="who alone may do what in this instance's fleet",
        description="list: all leases. show: this instance's voter and what it holds. why NAME: "
        "who has it, or why nobody has. hand-over NAME [--to INSTANCE]: give it on. found: begin "
        "the group of voters at one instance, once. refound: go on with this voter alone, only "
        "where a majority of the voters' disks is gone for good. run NAME -- COMMAND: wait for the "
        f"lease, run the command with its token in {TOKEN}, end it the moment the lease is lost.",
    )
    lease.add_argument("what", choices=ASKED, metavar="WHAT", help=", ".join(ASKED))
    lease.add_argument("file", metavar="FILE", help="the service's, with voters under [fleet]")
    lease.add_argument("name", metavar="NAME", nargs="?", default="", help="of the lease")
    lease.add_argument("command", metavar="COMMAND", nargs="*", help="behind --, with `run`")
    lease.add_argument("--to", default="", metavar="INSTANCE", help="with hand-over")
    lease.add_argument(
        "--wait", type=float, default=0.0, metavar="S", help="with run: give up after so long"
    )
    lease.add_argument("--json", action="store_true", help="all of it, for programs")
    lease.set_defaults(run=main)


def show(told: dict[str, Any]) -> str:
    lines = [f"{told['holder']}: leases of {told['length_ms'] / 1000:g} s"]
    voter = told.get("voter")
    if voter is None:
        row = ", ".join(told["wanted_voters"])
        lines.append(f"does not vote: {told['down'] or f'the voters are {row}'}")
    else:
        lines.append(
            f"votes as {voter['id']}, {voter['role']} in term {voter['term']}, group "
            f"{voter['group'] or 'none yet'}; leader {voter['leader'] or 'none'}"
        )
        lines.append(
            f"voters {', '.join(voter['voters']) or 'none'}; log to {voter['last']}, agreed to "
            f"{voter['commit']}" + ("; waits for its disk" if voter["writing"] else "")
        )
    rows = [[h["name"], str(h["token"]), f"{h['for_s']}", f"{h['left_s']}"] for h in told["held"]]
    lines += ["", table(["held here", "token", "for s", "left s"], rows) if rows else "holds none"]
    if told["asks_for"]:
        lines.append(f"asks for {', '.join(told['asks_for'])}")
    lines += ["", *(f"{e['ago_s']:.1f} s ago  {e['what']}" for e in told["events"][-20:])]
    return "\n".join(lines)


def listed(told: dict[str, Any]) -> str:
    rows = [
        [x["name"], x["holder"].partition("/")[0], str(x["token"]),
         "" if x["for_s"] is None else f"{x['for_s']}"]
        for x in told["leases"]
    ]  # fmt: skip
    if not rows:
        return "nobody holds anything" + (f": {told['down']}" if told["down"] else "")
    return table(["lease", "holder", "token", "for s"], rows)


def main(options: argparse.Namespace) -> int:
    """2 where nobody answers or the words are off, 1 where the answer is no."""
    if options.what in ("why", "hand-over", "run") and not options.name:
        print(f"tansywood lease {options.what}: which lease? write its NAME", file=sys.stderr)
        return 2
    path = ""
    try:
        path = socket_of(options.file)
        if options.what == "run":
            return run_under(path, options.name, options.command, options.wait)
        what = "list" if options.what == "show" else options.what
        limit_s = REFOUND_S if what == "refound" else WAIT_S
        told = ask(path, what, limit_s, of=options.name, to=options.to)
    except NoFleet as err:
        print(err, file=sys.stderr)
        return 2
    except (OSError, ValueError) as err:
        print(f"tansywood lease: {path}: {err}: is the service running?", file=sys.stderr)
        return 2
    if "error" in told:
        print(f"tansywood lease: {told['error']}", file=sys.stderr)
        return 1
    if options.json:
        print(json.dumps(told, indent=2))
    elif options.what == "why":
        print("\n".join(told["why"]))
    else:
        print(listed(told) if options.what == "list" else show(told))
    return 0


class Told(BaseException):
    """A signal that ends us, and the command with us."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.number = number


class Line:
    """A lease that the fleet's process holds for us, for as long as we stay on the line."""

    def __init__(self, path: str, name: str) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.connect(path)
        self.sock.sendall(frame({"lease": name}))
        self.token = 0
        self.until = 0  # on this machine's monotonic clock, nanoseconds
        self.over = threading.Event()

    def wait(self, limit_s: float) -> bool:
        """Until it is ours; False after so long (0: for ever). OSError where the line breaks."""
        self.sock.settimeout(limit_s or None)
        try:
            first = read_one(self.sock)
        except TimeoutError:
            return False
        self.sock.settimeout(None)
        self.token, self.until = int(first["token"]), int(first["until"])
        threading.Thread(target=self._follow, daemon=True).start()
        return True

    def _follow(self) -> None:
        with contextlib.suppress(OSError, ValueError, KeyError):
            while True:
                told = read_one(self.sock)
                if "lost" in told or int(told["token"]) != self.token:
                    break
                self.until = int(told["until"])
        self.over.set()

    def lost(self) -> bool:
        """By word, by time, or because nobody is on the line any more."""
        return self.over.is_set() or time.monotonic_ns() >= self.until

    def close(self) -> None:
        self.sock.close()


def run_under(path: str, name: str, command: list[str], wait_s: float) -> int:
    """Run a command under a lease; its own exit code, 75 where the lease went meanwhile or was not
    to be had in time."""
    if not command:
        print("tansywood lease run: write the command behind --", file=sys.stderr)
        return 2
    line = Line(path, name)

    def told(number: int, _frame: object) -> None:
        raise Told(number)

    before = {n: signal.signal(n, told) for n in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    try:
        if not line.wait(wait_s):
            print(f"tansywood lease: {name}: not ours within {wait_s:g} s", file=sys.stderr)
            return LOST
        environ = os.environ | {TOKEN: str(line.token)}
        with subprocess.Popen(command, env=environ, start_new_session=True) as process:
            try:
                while process.poll() is None:
                    if line.lost():
                        print(f"tansywood lease: {name}: lost; the command ends", file=sys.stderr)
                        return LOST
                    with contextlib.suppress(subprocess.TimeoutExpired):
                        process.wait(0.02)
                return process.returncode
            finally:
                end(process)  # nothing of it goes on without the lease
    except Told as err:
        return 128 + err.number
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        line.close()


def end(process: subprocess.Popen[bytes]) -> None:
    """The command and all that it started, unless it has ended."""
    if process.poll() is not None:
        return
    for number, patience in ((signal.SIGTERM, GRACE_S), (signal.SIGKILL, 5.0)):
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(patience)
            return
