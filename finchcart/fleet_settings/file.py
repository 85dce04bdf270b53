"""The settings file: JSON5, read by a library, checked against typed structs.

Owns how mistakes are reported: all together, each as `FILE: path.to.field: reason`. Fields and their ranges:
schema.py; what must hold between them: rules.py.
"""

from collections.abc import Iterable, Iterator
from difflib import get_close_matches
from pathlib import Path
from typing import get_args, get_origin

import json5
import msgspec
from msgspec import Struct

from finchcart.errors import SettingsError
from finchcart.fleet_settings.rules import Mistake, find_mistakes
from finchcart.fleet_settings.schema import Settings

MIN_SIMILARITY = 0.5  # of the name that is meant to the one that is given


def load_settings(path: str) -> Settings:
    """Read and check a settings file. Raise SettingsError with all that is wrong."""
    try:
        tree = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return check_settings(tree, path)


def check_settings(tree: object, path: str) -> Settings:
    """Check what was read from a file, named by `path`. Raise SettingsError with all that is wrong."""
    mistakes = list(_field_mistakes(Settings, tree, ""))
    if not mistakes:
        settings = msgspec.convert(tree, Settings)
        mistakes = list(find_mistakes(settings))
    if mistakes:
        raise SettingsError([f"{path}: {mistake.path}: {mistake.reason}" for mistake in mistakes])
    return settings


def _field_mistakes(struct: type[Struct], tree: object, prefix: str) -> Iterator[Mistake]:
    """Yield all in the tree that the struct does not allow; `prefix` is its path, with a point at the end."""
    if not isinstance(tree, dict):
        yield Mistake(prefix.rstrip(".") or "the whole", f"expected an object, got {tree!r:.40}")
        return
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for name in tree:
        if name not in fields:
            yield Mistake(f"{prefix}{name}", _unknown_name(str(name), fields))
    for name, field in fields.items():
        if name in tree:
            yield from _value_mistakes(field.type, tree[name], f"{prefix}{name}")
        elif field.required:
            yield Mistake(f"{prefix}{name}", "is missing")


def _unknown_name(name: str, known: Iterable[str]) -> str:
    nearest = get_close_matches(name, known, 1, MIN_SIMILARITY)
    return "no such setting" + (f"; the nearest is {nearest[0]}" if nearest else "")


def _value_mistakes(kind: object, value: object, path: str) -> Iterator[Mistake]:
    """Yield what is wrong with the value of one field."""
    struct = _struct_of(kind)
    is_list = get_origin(kind) is list
    if struct and not is_list:
        yield from _field_mistakes(struct, value, f"{path}.")
        return
    if struct and isinstance(value, list):
        for position, item in enumerate(value):
            yield from _field_mistakes(struct, item, f"{path}.{position}.")
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield Mistake(path, f"{value!r:.60}: {error}")


def _struct_of(kind: object) -> type[Struct] | None:
    """Return the struct that a type is, or is a list or an option of."""
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, Struct):
            return candidate
    return None
