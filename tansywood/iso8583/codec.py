"""Messages to bytes and back, by a dialect. Pure; raises IsoError and nothing else.

A dialect is compiled once into a reader and a writer for each field. What is read is checked:
lengths, content (n, a, an, ans, z, x+n, b), nothing behind the last field. An error says which
field and where, never what was there.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from tansywood.iso8583.dialect import VERSIONS, Dialect, FieldSpec

Value = str | bytes
Reader = Callable[[bytes, int], tuple[Value, int]]
Writer = Callable[[Value], bytes]

# Card numbers, expiry, tracks, PIN data, chip data: never shown.
SECRET = frozenset((2, 14, 23, 34, 35, 36, 45, 52, 53, 55))
DIGITS = b"0123456789"
LETTERS = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
PRINTABLE = bytes(range(0x20, 0x7F))
ALLOWED = {
    "n": DIGITS,
    "a": LETTERS + b" ",
    "an": LETTERS + DIGITS + b" ",
    "ans": PRINTABLE,
    "z": DIGITS + b"=D",
    "x+n": DIGITS + b"CD",
}
PLANS = 1024  # bitmaps remembered; more are worked out each time


class IsoError(ValueError):
    """A message that is none of its dialect. `field` is 0 for the MTI, 1 for the bitmaps, None
    for the message as a whole; `offset` is in the message's bytes, -1 on writing."""

    def __init__(self, why: str, number: int | None = None, offset: int = -1) -> None:
        where = (
            "" if number is None else ("MTI", "bitmap")[number] if number < 2 else f"field {number}"
        )
        at = f" at byte {offset}" if offset >= 0 else ""
        super().__init__(f"{where}{at}: {why}" if where or at else why)
        self.why = why
        self.field = number
        self.offset = offset


@dataclass(slots=True)
class Message:
    """An MTI of four digits, and values by field number: str, or bytes for content b."""

    mti: str
    fields: dict[int, Value] = field(default_factory=dict)

    def __repr__(self) -> str:
        shown = ", ".join(
            f"{n}: {'***' if n in SECRET else repr(v)}" for n, v in sorted(self.fields.items())
        )
        return f"Message({self.mti!r}, {{{shown}}})"


def _to_ascii(encoding: str) -> bytes:
    """A table from an encoding's bytes to ASCII; what has no place there becomes 0."""
    table = bytearray(256)
    for byte in range(256):
        letter = bytes([byte]).decode(encoding)
        table[byte] = ord(letter) if ord(letter) < 128 else 0
    return bytes(table)


def _from_ascii(encoding: str) -> bytes:
    table = bytearray(256)
    for byte in range(128):
        table[byte] = chr(byte).encode(encoding)[0]
    return bytes(table)


READ_TABLE = {"ascii": None, "cp037": _to_ascii("cp037"), "cp500": _to_ascii("cp500")}
WRITE_TABLE = {"ascii": None, "cp037": _from_ascii("cp037"), "cp500": _from_ascii("cp500")}


def _prefix_reader(spec: FieldSpec) -> Callable[[bytes, int], tuple[int, int]]:
    number, digits, most = spec.number, spec.digits, spec.length
    size = digits if spec.prefix not in ("bcd", "binary") else (digits + 1) // 2
    table = READ_TABLE.get(spec.prefix)
    binary, bcd = spec.prefix == "binary", spec.prefix == "bcd"

    def read(data: bytes, at: int) -> tuple[int, int]:
        end = at + size
        raw = data[at:end]
        if len(raw) < size:
            raise IsoError("ends within its length", number, at)
        if binary:
            length = int.from_bytes(raw, "big")
        else:
            text = raw.hex().encode() if bcd else raw.translate(table) if table else raw
            if not text.isdigit():
                raise IsoError("its length is no number", number, at)
            length = int(text)
        if length > most:
            raise IsoError(f"its length is over {most}", number, at)
        return length, end

    return read


def _prefix_writer(spec: FieldSpec) -> Callable[[int], bytes]:
    digits = spec.digits
    if spec.prefix == "binary":
        return lambda length: length.to_bytes((digits + 1) // 2, "big")
    if spec.prefix == "bcd":
        even = digits + digits % 2
        return lambda length: bytes.fromhex(f"{length:0{even}d}")
    table = WRITE_TABLE[spec.prefix]

    def write(length: int) -> bytes:
        raw = b"%0*d" % (digits, length)
        return raw.translate(table) if table else raw

    return write


def _reader(spec: FieldSpec) -> Reader:
    number, fixed, content = spec.number, spec.length, spec.content
    prefix = _prefix_reader(spec) if spec.digits else None

    if content == "b":

        def read_binary(data: bytes, at: int) -> tuple[Value, int]:
            length = fixed
            if prefix is not None:
                length, at = prefix(data, at)
            end = at + length
            raw = data[at:end]
            if len(raw) < length:
                raise IsoError("the message ends within it", number, at)
            return raw, end

        return read_binary

    allowed = ALLOWED[content]
    if spec.encoding == "bcd":
        left, pad, track = spec.pad_left, spec.pad, content == "z"

        def read_bcd(data: bytes, at: int) -> tuple[Value, int]:
            length = fixed
            if prefix is not None:
                length, at = prefix(data, at)
            end = at + (length + 1) // 2
            text = data[at:end].hex()
            if len(text) < length:
                raise IsoError("the message ends within it", number, at)
            if length % 2:
                if (text[0] if left else text[-1]) != pad:
                    raise IsoError(f"is not padded by {pad}", number, at)
                text = text[1:] if left else text[:-1]
            if track:
                text = text.replace("d", "=")
            if text.encode().translate(None, allowed):
                raise IsoError(f"is not of content {content}", number, at)
            return text, end

        return read_bcd

    table = READ_TABLE[spec.encoding]
    signed = content == "x+n"

    def read_text(data: bytes, at: int) -> tuple[Value, int]:
        length = fixed
        if prefix is not None:
            length, at = prefix(data, at)
        end = at + length
        raw = data[at:end]
        if len(raw) < length:
            raise IsoError("the message ends within it", number, at)
        if table:
            raw = raw.translate(table)
        if raw.translate(None, allowed) or (
            signed and (raw[:1] not in (b"C", b"D") or not raw[1:].isdigit())
        ):
            raise IsoError(f"is not of content {content}", number, at)
        return raw.decode("ascii"), end

    if content == "n" and table is None and prefix is None:
        # Most of a message is of these; what is wrong is told by the plain way below.

        def read_digits(data: bytes, at: int) -> tuple[Value, int]:
            end = at + fixed
            raw = data[at:end]
            if len(raw) == fixed and raw.isdigit():
                return raw.decode("ascii"), end
            return read_text(data, at)

        return read_digits

    return read_text


def _writer(spec: FieldSpec) -> Writer:
    number, length, content = spec.number, spec.length, spec.content
    prefix = _prefix_writer(spec) if spec.digits else None
    allowed = ALLOWED.get(content, b"")
    table = WRITE_TABLE.get(spec.encoding)
    bcd, left, pad = spec.encoding == "bcd", spec.pad_left, spec.pad

    def write(value: Value) -> bytes:
        if content == "b":
            if not isinstance(value, bytes):
                raise IsoError("needs bytes", number)
            raw = value
        else:
            if not isinstance(value, str) or not value.isascii():
                raise IsoError("needs text of ASCII", number)
            raw = value.encode("ascii")
            if raw.translate(None, allowed) or (
                content == "x+n" and (raw[:1] not in (b"C", b"D") or not raw[1:].isdigit())
            ):
                raise IsoError(f"is not of content {content}", number)
        size = len(raw)
        if prefix is None:
            if size != length:
                raise IsoError(f"has {size} of {length}", number)
        elif size > length:
            raise IsoError(f"has {size}, {length} at most", number)
        if bcd:
            digits = raw.decode().replace("=", "d").replace("D", "d")
            if size % 2:
                digits = pad + digits if left else digits + pad
            raw = bytes.fromhex(digits)
        elif table:
            raw = raw.translate(table)
        return raw if prefix is None else prefix(size) + raw

    if content == "n" and not bcd and table is None and prefix is None:

        def write_digits(value: Value) -> bytes:
            if isinstance(value, str) and len(value) == length and value.isascii():
                raw = value.encode("ascii")
                if raw.isdigit():
                    return raw
            return write(value)

        return write_digits

    return write


# Of a byte of a bitmap, the bits that are set, the first being 0.
BITS = [tuple(bit for bit in range(8) if byte & (0x80 >> bit)) for byte in range(256)]


class Codec:
    """One dialect's reader and writer."""

    def __init__(self, dialect: Dialect) -> None:
        self.dialect = dialect
        self._readers: list[Reader | None] = [None] * 193
        self._writers: dict[int, Writer] = {}
        for number, spec in dialect.fields.items():
            self._readers[number] = _reader(spec)
            self._writers[number] = _writer(spec)
        stan = dialect.fields.get(11)
        self._stan_fixed = stan is not None and not stan.digits
        self._digit = VERSIONS[dialect.version]
        self._mti = FieldSpec(0, "MTI", "n", dialect.mti, 4)
        self._read_mti = _reader(self._mti)
        self._write_mti = _writer(self._mti)
        self._hex = dialect.bitmap.startswith("hex")
        encoding = dialect.bitmap[4:] or "ascii"
        self._hex_read = READ_TABLE.get(encoding)
        self._hex_write = WRITE_TABLE.get(encoding)
        # Of bitmaps that were met, what to read (before field 11, and from it on) and what to
        # write: few differ in a day.
        self._reads: dict[
            bytes, tuple[int, list[tuple[int, Reader]], list[tuple[int, Reader]]]
        ] = {}
        self._writes: dict[tuple[int, ...], tuple[bytes, list[tuple[int, Writer]]]] = {}

    # ---- reading ----

    def decode(self, data: bytes) -> Message:
        """The message, whole: nothing may follow its last field. IsoError on anything else."""
        return self.decode_at(data)[0]

    def with_stan(self, data: bytes, at: int, stan: str) -> bytes:
        """The same message under another trace number of six digits."""
        made = self._writers[11](stan)
        return data[:at] + made + data[at + len(made) :]

    def decode_at(self, data: bytes) -> tuple[Message, int]:
        """The same, and where in its bytes field 11 begins; -1 where that was not kept."""
        mti, at = self._read_mti(data, 0)
        assert isinstance(mti, str)
        if mti[0] != self._digit:
            raise IsoError(f"is not of version {self.dialect.version}", 0, 0)
        size = 16 if self._hex else 8
        plan = self._reads.get(data[at : at + size]) or self._reads.get(data[at : at + 2 * size])
        if plan is not None:
            at += plan[0]
            found: dict[int, Value] = {}
            for number, read in plan[1]:
                found[number], at = read(data, at)
            stan_at = at if plan[2] and self._stan_fixed else -1
            for number, read in plan[2]:
                found[number], at = read(data, at)
            if at != len(data):
                raise IsoError(f"{len(data) - at} bytes follow the last field", None, at)
            return Message(mti, found), stan_at
        begin = at
        numbers, at = self._bitmap(data, at, 0)
        if numbers and numbers[0] == 1:
            more, at = self._bitmap(data, at, 64)
            numbers = numbers[1:] + more
        tertiary = self.dialect.tertiary
        if tertiary == "contiguous" and 65 in numbers:
            more, at = self._bitmap(data, at, 128)
            numbers.remove(65)
            numbers += more
        fields: dict[int, Value] = {}
        readers = self._readers
        if tertiary == "none" and len(self._reads) < PLANS:
            known = [(n, r) for n in numbers if (r := readers[n]) is not None]
            if len(known) == len(numbers):
                cut = numbers.index(11) if 11 in numbers else len(known)
                self._reads[data[begin:at]] = (at - begin, known[:cut], known[cut:])
        last: list[int] = []
        for number in numbers:
            if number == 65 and tertiary == "field-65":
                last, at = self._bitmap(data, at, 128)
                continue
            reader = readers[number]
            if reader is None:
                raise IsoError("is none of this dialect", number, at)
            fields[number], at = reader(data, at)
        for number in last:
            reader = readers[number]
            if reader is None:
                raise IsoError("is none of this dialect", number, at)
            fields[number], at = reader(data, at)
        if at != len(data):
            raise IsoError(f"{len(data) - at} bytes follow the last field", None, at)
        return Message(mti, fields), -1

    def _bitmap(self, data: bytes, at: int, base: int) -> tuple[list[int], int]:
        size = 16 if self._hex else 8
        raw = data[at : at + size]
        if len(raw) < size:
            raise IsoError("the message ends within it", 1, at)
        if self._hex:
            text = raw.translate(self._hex_read) if self._hex_read else raw
            if text.translate(None, b"0123456789ABCDEFabcdef"):
                raise IsoError("is no hexadecimal", 1, at)
            raw = bytes.fromhex(text.decode("ascii"))
        numbers = [
            base + 8 * i + bit + 1 for i, byte in enumerate(raw) if byte for bit in BITS[byte]
        ]
        return numbers, at + size

    # ---- writing ----

    def encode(self, message: Message) -> bytes:
        """The message's bytes; IsoError where it is none of the dialect."""
        if message.mti[:1] != self._digit:
            raise IsoError(f"is not of version {self.dialect.version}", 0)
        asked = tuple(message.fields)
        plan = self._writes.get(asked)
        if plan is not None:
            made = [self._write_mti(message.mti), plan[0]]
            values = message.fields
            made += [write(values[number]) for number, write in plan[1]]
            return b"".join(made)
        numbers = sorted(message.fields)
        writers = self._writers
        maps = [0, 0, 0]
        parts: list[bytes] = []
        at_65 = 0
        for number in numbers:
            writer = writers.get(number)
            if writer is None:
                raise IsoError("is none of this dialect", number)
            maps[(number - 1) // 64] |= 1 << (63 - (number - 1) % 64)
            if number < 65:
                at_65 += 1
            parts.append(writer(message.fields[number]))
        if maps[2]:
            maps[1] |= 1 << 63
        if maps[1]:
            maps[0] |= 1 << 63
        head = [self._write_mti(message.mti), self._map(maps[0])]
        if maps[1]:
            head.append(self._map(maps[1]))
        if maps[2]:
            if self.dialect.tertiary == "contiguous":
                head.append(self._map(maps[2]))
            else:
                parts.insert(at_65, self._map(maps[2]))
        elif len(self._writes) < PLANS:
            plan_head = b"".join(head[1:])
            self._writes[asked] = (plan_head, [(n, writers[n]) for n in numbers])
        return b"".join(head + parts)

    def _map(self, bits: int) -> bytes:
        raw = bits.to_bytes(8, "big")
        if not self._hex:
            return raw
        text = raw.hex().upper().encode()
        return text.translate(self._hex_write) if self._hex_write else text


def is_repeat(mti: str) -> bool:
    """Whether the origin says that it asks again (0101, 0201, 0401)."""
    return mti[3:] in ("1", "3", "5")


def response_mti(mti: str) -> str:
    """That of the answer: of a request 0200 0210, of a repeat 0201 0210 (ISO 8583:1987 4.1)."""
    return f"{mti[:2]}{int(mti[2]) + 1}{int(mti[3]) & ~1}"


def fields_shown(fields: Mapping[int, Value]) -> dict[int, Value]:
    """What may be logged or reported of a message."""
    return {n: "***" if n in SECRET else v for n, v in fields.items()}
