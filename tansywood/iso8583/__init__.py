"""ISO 8583 as pure code: dialects, the codec, nested TLV, framing. Bytes in, values out.

Nothing here does I/O or reads a clock. Card numbers and track data are values like others, and
never part of an error's text or of what `repr` shows: see `codec.SECRET`.
"""
