"""`python -m tansywood store check|dump|stats|compact|repair PATH`.

Exit codes: 0 sound, 1 faults found or something lost, 2 could not be done.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from tansywood.store import manifest as manifests
from tansywood.store.engine import Batch, Store
from tansywood.store.errors import StoreError, StoreFormat
from tansywood.store.files import Files, RealFiles
from tansywood.store.frames import FRAME, HEAD, Frame, decode, read_head, readable_behind
from tansywood.store.hints import Hint
from tansywood.store.manifest import Manifest, Segment

OK, FAULTS, FAILED = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that is not as it was written, with its place."""

    file: str
    offset: int
    why: str
    grave: bool = True  # else opening mends it: a torn tail, a left-over, a hint

    def __str__(self) -> str:
        return f"{self.file} at byte {self.offset}: {self.why}"


@dataclass(frozen=True, slots=True)
class Found:
    """What one segment holds: its readable frames in order, and its faults."""

    segment: Segment
    frames: list[Frame]
    faults: list[Fault]


def read_all(files: Files, name: str) -> bytes:
    file = files.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def look_at(segment: Segment, data: bytes, cut_is_grave: bool) -> Found:
    """Read one segment to its end, past what can't be read."""
    found: list[Frame] = []
    faults: list[Fault] = []
    name = segment.name
    try:
        read_head(data, name)
    except (ValueError, StoreFormat) as err:
        faults.append(Fault(name, 0, str(err)))
    if segment.length is not None and len(data) != segment.length:
        faults.append(Fault(name, len(data), f"it has {len(data)} bytes of {segment.length}"))
    at = HEAD.size
    while at < len(data):
        try:
            frame = decode(data, at)
        except ValueError as err:
            behind = next(readable_behind(data, at), None)
            grave = cut_is_grave or (behind is not None and behind.durable > 0)
            faults.append(Fault(name, at, str(err), grave))
            if behind is None:
                break
            # From where the next readable one begins.
            at = behind.ops[0].offset - FRAME.size if behind.ops else behind.end
            continue
        found.append(frame)
        at = frame.end
    return Found(segment, found, faults)


def survey(files: Files) -> tuple[Manifest | None, list[Found], list[Fault]]:
    """Everything readable in a folder, and every fault; nothing is changed.

    Without a readable manifest the segments are taken in the order of what they hold: a
    compaction's result has a higher number than segments that were written behind it.
    """
    names = files.names()
    faults: list[Fault] = []
    manifest: Manifest | None = None
    try:
        manifest = manifests.decode(read_all(files, manifests.NAME))
    except FileNotFoundError:
        faults.append(Fault(manifests.NAME, 0, "the file is missing"))
    except (ValueError, KeyError, TypeError) as err:
        faults.append(Fault(manifests.NAME, 0, str(err)))
    if manifest is None:
        numbers = sorted(int(n[:-4]) for n in names if n.endswith(".log") and n[:-4].isdigit())
        segments: tuple[Segment, ...] = tuple(Segment(n, 0) for n in numbers)
    else:
        segments = manifest.segments
    found: list[Found] = []
    for segment in segments:
        if segment.name not in names:
            faults.append(Fault(segment.name, 0, "the file is missing"))
            continue
        print(f"{segment.name}, {len(found) + 1} of {len(segments)}", file=sys.stderr)
        one = look_at(segment, read_all(files, segment.name), segment.length is not None)
        found.append(one)
        faults += one.faults
        if segment.length is not None and segment.hint in names:
            try:
                Hint(read_all(files, segment.hint), segment.number, segment.length)
            except ValueError as err:
                faults.append(Fault(segment.hint, 0, f"{err}; the segment is read", False))
    if manifest is None:
        found.sort(
            key=lambda one: (one.frames[-1].sequence if one.frames else 0, one.segment.number)
        )
    known = {manifests.NAME, *(s.name for s in segments), *(s.hint for s in segments)}
    for name in names:
        if name not in known:
            faults.append(Fault(name, 0, "left over from a half-finished step", False))
    return manifest, found, faults


def survey_at(path: str) -> tuple[list[Found], list[Fault]]:
    """The same of a folder that nobody else has open meanwhile."""
    files = existing(path)
    files.lock()
    try:
        _, found, faults = survey(files)
    finally:
        files.unlock()
    return found, faults


def check(options: argparse.Namespace) -> int:
    """Name every fault; change nothing."""
    found, faults = survey_at(options.path)
    for fault in faults:
        print(f"{'FAULT' if fault.grave else 'mends itself'}: {fault}")
    count = sum(len(one.frames) for one in found)
    grave = sum(fault.grave for fault in faults)
    print(f"{count} frames in {len(found)} segments can be read; {grave} faults")
    return FAULTS if grave else OK


def existing(path: str) -> RealFiles:
    """The folder; a look at one that is not there must not make it."""
    if not Path(path).is_dir():
        raise StoreFormat(f"{path} is no folder: name the store's own")
    return RealFiles(path)


def opened(options: argparse.Namespace) -> Store:
    return Store.open(files=existing(options.path), automatic=False)


def dump(options: argparse.Namespace) -> int:
    """Each key and value as a line of JSON; bytes that are no text as hexadecimal."""

    def words(data: bytes) -> dict[str, str] | str:
        try:
            text = data.decode()
        except UnicodeDecodeError:
            return {"hex": data.hex()}
        return text if text.isprintable() else {"hex": data.hex()}

    with opened(options) as store:
        start = options.prefix.encode()
        for key, value in store.scan(start):
            if not key.startswith(start):
                break
            print(json.dumps({"key": words(key), "value": words(value)}))
    return OK


def stats(options: argparse.Namespace) -> int:
    with opened(options) as store:
        print(json.dumps(asdict(store.stats()), indent=2))
    return OK


def compact(options: argparse.Namespace) -> int:
    with opened(options) as store:
        before = store.stats().disk_bytes
        told = -1

        def progress(done: int, total: int) -> None:
            nonlocal told
            tenth = 10 * done // max(total, 1)
            if tenth != told:
                told = tenth
                print(f"{done} of {total} keys", file=sys.stderr)

        store.compact(progress)
        print(f"{before} bytes before, {store.stats().disk_bytes} after")
    return OK


def repair(options: argparse.Namespace) -> int:
    """Write a new store of all that can be read beside the old one, and say what can't.

    Unlike an opening it goes on past a fault: what it makes is not a prefix of what was
    written any more. The old store is not changed.
    """
    target = Path(f"{options.path.rstrip('/')}.repaired")
    if target.exists():
        raise StoreFormat(f"{target} is there already: move it away first")
    found, faults = survey_at(options.path)
    total = sum(len(one.frames) for one in found)
    with Store.open(target, automatic=False) as store:
        for done, frame in enumerate(f for one in found for f in one.frames):
            batch = Batch()
            for key, value, _offset, _size in frame.ops:
                if value is None:
                    batch.delete(key)
                else:
                    batch.put(key, value)
            store.write(batch)
            if done % 10_000 == 0:
                print(f"{done} of {total} frames", file=sys.stderr)
        store.compact()
        keys = store.stats().keys
    grave = [fault for fault in faults if fault.grave]
    for fault in grave:
        print(f"could not be saved: {fault}")
    print(f"{target}: {keys} keys from {total} frames; {len(grave)} places lost")
    return FAULTS if grave else OK


VERBS: dict[str, tuple[Callable[[argparse.Namespace], int], str]] = {
    "check": (check, "name every fault with its place; changes nothing"),
    "dump": (dump, "each key and value as a line of JSON"),
    "stats": (stats, "sizes, counts and what the last opening found"),
    "compact": (compact, "give back the room of what is dead"),
    "repair": (repair, "write what can be read to PATH.repaired, and say what can't"),
}


def add_to(verbs: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """The verb `store` and those below it."""
    parser = verbs.add_parser("store", help="look at, compact and repair a store")
    below = parser.add_subparsers(dest="store_verb", required=True, metavar="VERB")
    for name, (work, text) in VERBS.items():
        one = below.add_parser(name, help=text, description=text)
        one.add_argument("path", metavar="PATH", help="the store's folder")
        if name == "dump":
            one.add_argument("--prefix", default="", help="only keys that begin so")
        one.set_defaults(run=guarded(work))


def guarded(work: Callable[[argparse.Namespace], int]) -> Callable[[argparse.Namespace], int]:
    """One line and exit code 2 where it can't be done."""

    def run(options: argparse.Namespace) -> int:
        try:
            return work(options)
        except (StoreError, OSError) as err:
            print(f"tansywood store: {err}", file=sys.stderr)
            return FAILED

    return run
