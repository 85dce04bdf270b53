"""Reads the settings file of a running process again, and accepts or rejects it as a whole.

This module logs the result. It must never apply the settings: the caller does.
"""

from collections.abc import Callable, Iterable

from loguru import logger

from finchcart.errors import SettingsError
from finchcart.fleet_settings.file import load_settings
from finchcart.fleet_settings.schema import Settings


def reread_settings(path: str, find_fixed: Callable[[Settings], Iterable[str]]) -> Settings | None:
    """Return the settings in a file, or log each mistake and return None if the file is rejected.

    Arguments:
        path: the path of the file.
        find_fixed: returns the paths of the fields whose values have changed and need a restart.
    """
    try:
        settings = load_settings(path)
        fixed = list(find_fixed(settings))
        if fixed:
            raise SettingsError([f"{path}: {name}: waits for the next start" for name in fixed])
    except SettingsError as error:
        for mistake in error.mistakes:
            logger.error("settings rejected: {}", mistake)
        return None
    logger.info("settings applied from {}", path)
    return settings
