"""The store's tools: what they say of sound and of damaged stores, and that they change nothing."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tansywood.__main__ import main
from tansywood.store import Batch, Store, StoreCorrupt


def make(path: Path) -> None:
    """Twenty durable writes in several segments, the last one open, and a compaction."""
    store = Store.open(path, segment_bytes=600, automatic=False)
    for n in range(20):
        store.write(Batch().put(b"k%02d" % n, b"v%02d" % n * 10), durable=True)
        if n == 8:
            store.compact()
    store._let_go()


def picture(path: Path) -> dict[str, bytes]:
    return {f.name: f.read_bytes() for f in path.iterdir() if f.name != "LOCK"}


def test_a_sound_store_has_no_faults(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    make(tmp_path / "s")
    before = picture(tmp_path / "s")
    assert main(["store", "check", str(tmp_path / "s")]) == 0
    assert "; 0 faults" in capsys.readouterr().out
    assert picture(tmp_path / "s") == before


def test_check_names_each_fault_with_its_place_and_changes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "s"
    make(path)
    logs = sorted(path.glob("*.log"))
    places = []
    for log in logs[:2]:
        data = bytearray(log.read_bytes())
        data[60] ^= 1
        log.write_bytes(data)
        places.append(log.name)
    (path / "00000077.log").write_bytes(b"left")
    before = picture(path)
    assert main(["store", "check", str(path)]) == 1
    out = capsys.readouterr().out
    for name in places:
        assert f"FAULT: {name} at byte 22: does not match its checksum" in out
    assert "mends itself: 00000077.log" in out
    assert picture(path) == before


def test_repair_saves_what_can_be_read_and_says_what_can_not(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "s"
    make(path)
    last = sorted(path.glob("*.log"))[-1]
    sealed = sorted(path.glob("*.log"))[0]  # written after the compaction, one key a frame
    data = bytearray(sealed.read_bytes())
    data[80] ^= 1  # in its first frame
    sealed.write_bytes(data)
    # The hint lets it open; what has rotted is refused where it is read.
    with pytest.raises(StoreCorrupt), Store.open(path) as store:
        dict(store.scan())
    before = picture(path)
    assert main(["store", "repair", str(path)]) == 1
    out = capsys.readouterr().out
    assert f"could not be saved: {sealed.name} at byte 22" in out and "1 places lost" in out
    assert last.exists() and picture(path) == {**picture(path), **before}
    with Store.open(tmp_path / "s.repaired") as repaired:
        found = dict(repaired.scan())
    assert len(found) == 19
    assert all(value == b"v" + key[1:] + value[3:] for key, value in found.items())
    assert main(["store", "repair", str(path)]) == 2  # there already


def test_dump_stats_and_compact(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "s"
    with Store.open(path) as store:
        store.put(b"tenant/a", b"text")
        store.put(b"tenant/b", b"\xff\x00")
        store.put(b"other", b"x")
    assert main(["store", "dump", str(path), "--prefix", "tenant/"]) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert rows == [
        {"key": "tenant/a", "value": "text"},
        {"key": "tenant/b", "value": {"hex": "ff00"}},
    ]
    assert main(["store", "stats", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)["keys"] == 3
    assert main(["store", "compact", str(path)]) == 0
    told = capsys.readouterr()
    assert "after" in told.out and "3 of 3 keys" in told.err


def test_a_store_in_use_and_a_folder_that_is_not_there(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with Store.open(tmp_path / "s"):
        assert main(["store", "check", str(tmp_path / "s")]) == 2
    assert "one writer at a time" in capsys.readouterr().err
    assert main(["store", "stats", str(tmp_path / "no")]) == 2
    assert not (tmp_path / "no").exists()


def test_repair_without_a_manifest_takes_the_segments_in_the_order_of_their_writes(
    tmp_path: Path,
) -> None:
    """A compaction's result has a higher number than what was written behind it."""
    path = tmp_path / "s"
    with Store.open(path, automatic=False) as store:
        for n in range(5):
            store.put(b"k", b"%d" % n)
        store.compact()
        store.put(b"k", b"newest")
    (path / "MANIFEST").unlink()
    assert main(["store", "repair", str(path)]) == 1
    with Store.open(tmp_path / "s.repaired") as repaired:
        assert dict(repaired.scan()) == {b"k": b"newest"}
