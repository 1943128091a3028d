"""A tenant's ISO 8583 settings as its codec and its mapping are told."""

from __future__ import annotations

from tansywood.iso8583.dialect import Dialect, built_in, parse
from tansywood.iso8583.mapping import Mapping, Rule
from tansywood.tenancy.settings import IsoSettings


def dialect_of(iso: IsoSettings) -> Dialect:
    """The dialect that it names, or its own. DialectError where that can't be read."""
    return built_in(iso.dialect) if isinstance(iso.dialect, str) else parse(iso.dialect)


def mapping_of(iso: IsoSettings) -> Mapping:
    """What its messages and answers mean."""
    return Mapping(
        tuple(Rule(*rule) for rule in iso.rules),
        turned_away=iso.turned_away,
        in_doubt=iso.in_doubt,
        approved=iso.approved,
        by_field_7=iso.by_field_7,
        retry_field=iso.retry_field,
    )
