"""Read a settings file in JSON5 and check it against typed structs.

All mistakes in a file are reported together, each as `FILE: path.to.field: reason`. The fields and their
ranges are defined in schema.py, and the rules between fields in rules.py.
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

MIN_NAME_SIMILARITY = 0.5  # a setting is suggested if it is this similar (0 to 1) to the unknown name


def load_settings(path: str) -> Settings:
    """Read and check a settings file; raise SettingsError with all mistakes in it."""
    try:
        tree = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return check_settings(tree, path)


def check_settings(tree: object, path: str) -> Settings:
    """Check the content of the file `path`; raise SettingsError with all mistakes in it."""
    mistakes = list(_field_mistakes(Settings, tree, ""))
    if not mistakes:
        settings = msgspec.convert(tree, Settings)
        mistakes = list(find_mistakes(settings))
    if mistakes:
        raise SettingsError([f"{path}: {mistake.path}: {mistake.reason}" for mistake in mistakes])
    return settings


def _field_mistakes(struct: type[Struct], tree: object, prefix: str) -> Iterator[Mistake]:
    """Yield all mistakes in a tree that has to match a struct; `prefix` is its path with a dot at the end."""
    if not isinstance(tree, dict):
        yield Mistake(prefix.rstrip(".") or "top level", f"expected an object, got {tree!r:.40}")
        return
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for name in tree:
        if name not in fields:
            yield Mistake(f"{prefix}{name}", _unknown_name_reason(str(name), fields))
    for name, field in fields.items():
        if name in tree:
            yield from _value_mistakes(field.type, tree[name], f"{prefix}{name}")
        elif field.required:
            yield Mistake(f"{prefix}{name}", "is missing")


def _unknown_name_reason(name: str, known: Iterable[str]) -> str:
    nearest = get_close_matches(name, known, 1, MIN_NAME_SIMILARITY)
    return "no such setting" + (f"; the nearest is {nearest[0]}" if nearest else "")


def _value_mistakes(kind: object, value: object, path: str) -> Iterator[Mistake]:
    """Yield the mistakes in the value of one field."""
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
    """Return the struct type of a field that is a struct, a list of structs or an optional struct."""
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, Struct):
            return candidate
    return None
