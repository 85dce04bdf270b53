"""Reading the settings file of a running process again: accepted as a whole, or rejected.

Owns the log lines of both. It must never change what is in force: the caller does.
"""

from collections.abc import Callable, Iterable

from loguru import logger

from finchcart.errors import SettingsError
from finchcart.fleet_settings.file import load_settings
from finchcart.fleet_settings.schema import Settings


def reread_settings(path: str, find_fixed: Callable[[Settings], Iterable[str]]) -> Settings | None:
    """Return the settings of a file, or None where it is rejected; each mistake is logged.

    Arguments:
        path: of the file.
        find_fixed: gives the paths of the fields that differ from those in force and need a restart.
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
