"""Encrypted, authenticated datagrams between instances of one fleet.

    1 byte version | 4 key id | 16 the sender's life | 8 counter | AES-256-GCM of the body

Each life (run) of a process has a key of its own, derived from the fleet's key (HKDF, RFC 5869),
so the counter is a nonce that no two datagrams share. The fleet's name and its seed addresses are
authenticated as associated data and not sent. A sliding window of counters rejects replayed
datagrams, as in IPsec (RFC 4303, 3.4.3).
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
MAX_DATAGRAM_BYTES = 1400  # of a datagram: not fragmented on any path of a data centre
REPLAY_WINDOW_COUNT = 1024  # counters below the highest one that are tracked
MAX_REMEMBERED_LIVES = 2048  # senders whose derived keys and windows are kept


class SealError(ValueError):
    """A datagram was refused; `reason` is one of REFUSAL_REASONS, for counting."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


REFUSAL_REASONS = ("short", "version", "stranger", "forged", "replay")


class KeyFileError(ValueError):
    """The key file can't be used; the text names the fault, the line and the remedy."""


def read_keys(text: str) -> list[bytes]:
    """The keys of a key file, one line of 64 hexadecimal digits each.

    The first key seals, all keys open. Empty lines and lines that begin with # are ignored.
    KeyFileError names the line at fault.
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
            raise KeyFileError(f"line {number}: not a key: write 64 hexadecimal digits")
        if key in keys:
            raise KeyFileError(f"line {number}: this key is listed twice: remove one")
        keys.append(key)
    if not keys:
        raise KeyFileError("holds no key: make one with `openssl rand -hex 32`")
    return keys


class _Window:
    """Which counters of one life were received."""

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = -1
        self.bits = 0

    def fresh(self, counter: int) -> bool:
        """Whether this counter is neither received yet nor too old to tell."""
        behind = self.highest - counter
        return behind < 0 or (behind < REPLAY_WINDOW_COUNT and not self.bits >> behind & 1)

    def mark_received(self, counter: int) -> None:
        """Remember a counter whose datagram was authentic."""
        ahead = counter - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, REPLAY_WINDOW_COUNT) | 1) & (
                (1 << REPLAY_WINDOW_COUNT) - 1
            )
            self.highest = counter
        else:
            self.bits |= 1 << -ahead


class Seal:
    """Seals datagrams of one life of a process, and opens those of other instances."""

    def __init__(self, keys: Sequence[bytes], binding: bytes, life: bytes) -> None:
        """`binding` must be equal at all instances; `life` is 16 random bytes of this run.

        ValueError where `life` has another length or there is no key.
        """
        if len(life) != LIFE_BYTES:
            raise ValueError(f"a life must have {LIFE_BYTES} bytes")
        self.life = life
        self.counter = 0
        self._binding = binding
        self._senders: OrderedDict[tuple[bytes, bytes], tuple[AESGCM, _Window]] = OrderedDict()
        self.rekey(keys)

    def rekey(self, keys: Sequence[bytes]) -> None:
        """Replace the keys. The counter is not reset, so no nonce is used twice under one key."""
        if not keys:
            raise ValueError("at least one key is needed to seal datagrams")
        self._keys = {hashlib.sha256(key).digest()[:4]: key for key in keys}
        self._key_id = hashlib.sha256(keys[0]).digest()[:4]
        self._own_cipher = self._cipher(keys[0], self.life)
        # Replay windows under a kept key stay: without them earlier datagrams could be replayed.
        for known in [known for known in self._senders if known[0] not in self._keys]:
            del self._senders[known]

    def _cipher(self, key: bytes, life: bytes) -> AESGCM:
        derived = HKDF(SHA256(), KEY_BYTES, salt=life, info=b"tansywood fleet 1").derive(key)
        return AESGCM(derived)

    def seal(self, body: bytes) -> bytes:
        """A datagram with this body, sealed under the first key."""
        self.counter += 1
        head = HEADER.pack(VERSION, self._key_id, self.life, self.counter)
        nonce = self.counter.to_bytes(12, "big")
        return head + self._own_cipher.encrypt(nonce, body, head + self._binding)

    def open(self, data: bytes) -> tuple[bytes, bytes]:
        """The sender's life and the body of a datagram.

        SealError where no instance of this fleet sealed it or it is a replay; a refused datagram
        leaves no state behind.
        """
        if len(data) < HEADER.size + 16:
            raise SealError("short")
        version, key_id, life, counter = HEADER.unpack_from(data)
        if version != VERSION:
            raise SealError("version")
        key = self._keys.get(key_id)
        if key is None:
            raise SealError("stranger")
        known = self._senders.get((key_id, life))
        cipher, window = known or (self._cipher(key, life), _Window())
        if not window.fresh(counter):
            raise SealError("replay")
        try:
            body = cipher.decrypt(
                counter.to_bytes(12, "big"),
                data[HEADER.size :],
                data[: HEADER.size] + self._binding,
            )
        except InvalidTag:
            raise SealError("forged") from None
        window.mark_received(counter)
        if known is None:
            # A life that was dropped from this cache comes back with an empty window. Only its
            # earlier datagrams to this instance could be replayed then, and their envelopes are
            # addressed to this life alone.
            self._senders[key_id, life] = (cipher, window)
            if len(self._senders) > MAX_REMEMBERED_LIVES:
                self._senders.popitem(last=False)
        else:
            self._senders.move_to_end((key_id, life))
        return life, body


def fleet_binding(fleet: str, first: Sequence[str], hand_on: bool = False) -> bytes:
    """Digest of the settings that all instances of a fleet must share.

    They are the fleet's name, its seed addresses in order, and whether another instance than the
    allocator may grant a slice. An instance that has other settings must be granted nothing.
    """
    parts = [fleet, *first, *(["hand on"] if hand_on else [])]
    return hashlib.sha256("\n".join(parts).encode()).digest()
