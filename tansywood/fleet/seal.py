"""Datagrams that only the fleet can make and read.

    1 byte version | 4 key's name | 16 the sender's life | 8 counter | AES-256-GCM of the body

Each life of a process has a key of its own, derived from the fleet's (HKDF, RFC 5869), so the
counter is a nonce that no two datagrams share. What the datagram is bound to besides (the fleet's
name, its first addresses) is authenticated and not sent. A window of counters turns away what comes
twice, as in IPsec (RFC 4303, 3.4.3).
"""

from __future__ import annotations

import hashlib
import struct
from collections import OrderedDict
from collections.abc import Sequence

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from tansywood.fleet.messages import LIFE_BYTES

VERSION = 1
HEADER = struct.Struct(">B4s16sQ")
KEY_BYTES = 32
MAX_DATAGRAM_BYTES = 1400  # bytes of a datagram: no path of a data centre cuts it in pieces
WINDOW = 1024  # counters behind the highest that are told apart
MAX_REMEMBERED_LIVES = 2048  # whose keys and windows are remembered


class SealError(ValueError):
    """A datagram that is not for us; `reason` is one of REFUSAL_REASONS, for counting."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


REFUSAL_REASONS = ("short", "version", "stranger", "forged", "replay")


class KeyFileError(ValueError):
    """The key file can't be used; the text says what, where and what to do."""


def read_keys(text: str) -> list[bytes]:
    """The keys of a key file: a line of 64 hexadecimal digits each, the first seals, all open.

    Empty lines and lines that begin with # are left out. KeyFileError names the line.
    """
    keys: list[bytes] = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        try:
            key = bytes.fromhex(line)
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES:
            raise KeyFileError(f"line {number}: no key: write 64 hexadecimal digits")
        if key in keys:
            raise KeyFileError(f"line {number}: this key is there twice: take one out")
        keys.append(key)
    if not keys:
        raise KeyFileError("holds no key: make one with `openssl rand -hex 32`")
    return keys


class _Window:
    """Which counters of a life have come."""

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = -1
        self.bits = 0

    def fresh(self, counter: int) -> bool:
        behind = self.highest - counter
        return behind < 0 or (behind < WINDOW and not self.bits >> behind & 1)

    def take(self, counter: int) -> None:
        ahead = counter - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = counter
        else:
            self.bits |= 1 << -ahead


class Seal:
    """Seals for one life of one process, and opens what others of the fleet sealed."""

    def __init__(self, keys: Sequence[bytes], bound: bytes, life: bytes) -> None:
        """`bound` is what all instances must agree on; `life` is 16 random bytes of this start."""
        if len(life) != LIFE_BYTES:
            raise ValueError(f"a life is {LIFE_BYTES} bytes")
        self.life = life
        self.counter = 0
        self._bound = bound
        self._others: OrderedDict[tuple[bytes, bytes], tuple[AESGCM, _Window]] = OrderedDict()
        self.rekey(keys)

    def rekey(self, keys: Sequence[bytes]) -> None:
        """Go on with these; the counter goes on too, so no nonce is used twice under any."""
        if not keys:
            raise ValueError("no key")
        self._keys = {hashlib.sha256(key).digest()[:4]: key for key in keys}
        self._name = hashlib.sha256(keys[0]).digest()[:4]
        self._own = self._cipher(keys[0], self.life)
        # Windows under a key that stays are kept: forgotten, all before could come again.
        for known in [known for known in self._others if known[0] not in self._keys]:
            del self._others[known]

    def _cipher(self, key: bytes, life: bytes) -> AESGCM:
        derived = HKDF(SHA256(), KEY_BYTES, salt=life, info=b"tansywood fleet 1").derive(key)
        return AESGCM(derived)

    def seal(self, body: bytes) -> bytes:
        """A datagram of this body, sealed under our first key."""
        self.counter += 1
        head = HEADER.pack(VERSION, self._name, self.life, self.counter)
        nonce = self.counter.to_bytes(12, "big")
        return head + self._own.encrypt(nonce, body, head + self._bound)

    def open(self, data: bytes) -> tuple[bytes, bytes]:
        """The sender's life and the body. SealError on what nobody of this fleet made, or made
        for another time; nothing is remembered of it."""
        if len(data) < HEADER.size + 16:
            raise SealError("short")
        version, name, life, counter = HEADER.unpack_from(data)
        if version != VERSION:
            raise SealError("version")
        key = self._keys.get(name)
        if key is None:
            raise SealError("stranger")
        known = self._others.get((name, life))
        cipher, window = known or (self._cipher(key, life), _Window())
        if not window.fresh(counter):
            raise SealError("replay")
        try:
            body = cipher.decrypt(
                counter.to_bytes(12, "big"), data[HEADER.size :], data[: HEADER.size] + self._bound
            )
        except InvalidTag:
            raise SealError("forged") from None
        window.take(counter)
        if known is None:
            # An honest life that is forgotten comes back with an empty window: all it could
            # be given again is its own past to us, and that is for this life of ours alone.
            self._others[name, life] = (cipher, window)
            if len(self._others) > MAX_REMEMBERED_LIVES:
                self._others.popitem(last=False)
        else:
            self._others.move_to_end((name, life))
        return life, body


def fleet_binding(fleet: str, first: Sequence[str], hand_on: bool = False) -> bytes:
    """What binds a datagram to a fleet: its name, its first addresses in order, and whether a
    slice may be granted by another than its allocator. Who disagrees on these must be granted
    nothing."""
    rows = [fleet, *first, *(["hand on"] if hand_on else [])]
    return hashlib.sha256("\n".join(rows).encode()).digest()
