"""The commands `finchcart fleet ...`: queries to a running process, and operators' overrides.

Owns their arguments and what they print. What they need of a fleet is imported by the commands.
"""

import sys
from collections.abc import Callable
from typing import Any

import click
import msgspec

from finchcart.cli.options import settings_option

SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600}
MAX_OVERRIDE_SECONDS = 604_800
MAX_REASON_LENGTH = 60
NAMED_SUBJECTS = ("source", "node")  # kinds of which there are many

json_option = click.option("--json", "as_json", is_flag=True)
at_option = click.option("--at", help="HOST:PORT of a node; else fleet.listen of the settings file")
kind_argument = click.argument("kind", type=click.Choice(["source", "store", "node", "level"]))


@click.group()
def fleet() -> None:
    """Ask a running process what it holds of the fleet."""


def _query(query: Callable[[tuple[str, int]], dict[str, Any]], where: str, as_json: bool) -> dict[str, Any]:
    """Return the response of the process at HOST:PORT; with `as_json`, print it and exit."""
    from finchcart.fleet.codec import DatagramError, parse_address

    try:
        view = query(parse_address(where))
    except DatagramError as error:
        raise click.UsageError(f"{where}: {error}") from None
    except TimeoutError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.encode(view))
        sys.exit(0)
    return view


def _print_fields(fields: dict[str, Any], indent: str = "", without: tuple[str, ...] = ()) -> None:
    """Print names and values on one line."""
    shown = (f"{name} {value}" for name, value in fields.items() if name not in without)
    click.echo(indent + ", ".join(shown))


@fleet.command(help="The members as the process at HOST:PORT (its `fleet.listen`) sees them.")
@click.argument("where")
@json_option
def members(where: str, as_json: bool) -> None:
    """Print the view of one member."""
    from finchcart.fleet_queries import query_members

    view = _query(query_members, where, as_json)
    alone = ", isolated" if view["isolated"] else ""
    click.echo(f"{view['name']}, incarnation {view['incarnation']}{alone}; at most {view['age_ms']} ms old")
    width = max(len(member["name"]) for member in view["members"])
    for member in view["members"]:
        click.echo(
            f"  {member['name']:{width}}  {member['state']:8} {member['age_ms']:>7} ms  "
            f"{member['address']:21} {member['incarnation']}"
        )


@fleet.command(help="The limits as the node (its `fleet.listen`) or planner at HOST:PORT holds them.")
@click.argument("where")
@json_option
def limits(where: str, as_json: bool) -> None:
    """Print the limits of one process."""
    from finchcart.fleet_queries import query_limits

    view = _query(query_limits, where, as_json)
    _print_fields(view, without=("limits", "counts"))
    for limit in view["limits"]:
        _print_fields(limit, indent="  ")


@fleet.command(
    help="What the node at HOST:PORT (its `fleet.listen`) takes the fleet to hold, and how old that can be."
)
@click.argument("where")
@json_option
def verdicts(where: str, as_json: bool) -> None:
    """Print the consensus as one node holds it."""
    from finchcart.fleet_queries import query_consensus

    view = _query(query_consensus, where, as_json)
    _print_fields(view, without=("verdicts", "counts", "pages"))
    for decision in view["verdicts"]:
        _print_fields(decision, indent="  ")


def _send_override(
    settings: str | None, at: str | None, kind: str, name: str, value: str, seconds: int, why: str
) -> None:
    """Send an operator's override to one node, which gossips it; without a value it is revoked."""
    from finchcart.consensus import subjects
    from finchcart.errors import SettingsError
    from finchcart.fleet.codec import DatagramError, parse_address
    from finchcart.fleet_queries import send_override
    from finchcart.fleet_settings.file import load_settings

    try:
        subject = subjects.parse_subject(kind, name)
        number = subjects.parse_value(kind, value) if value else 0
        if not at:
            if not settings:
                raise click.UsageError("--at, or --settings or FINCHCART_SETTINGS, has to tell which node")
            fleet_settings = load_settings(settings).fleet
            if fleet_settings is msgspec.UNSET:
                raise click.UsageError(f"{settings}: fleet is missing: --at has to tell which node")
            at = fleet_settings.listen
        view = send_override(parse_address(at), subject, number, seconds, why)
    except (SettingsError, TimeoutError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    except (ValueError, DatagramError) as error:
        raise click.UsageError(str(error)) from None
    if not view["taken"]:
        click.echo(f"not taken: {view['why']}", err=True)
        sys.exit(1)
    click.echo(f"taken by {at}; all connected nodes act within {view['acts_within_ms']} ms")


def _parse_seconds(text: str) -> int:
    """Return the seconds of "90s", "10m" or "2h"."""
    seconds = int(text[:-1]) * SECONDS_BY_UNIT.get(text[-1], 0) if text[:-1].isdecimal() else 0
    if not 0 < seconds <= MAX_OVERRIDE_SECONDS:
        raise click.UsageError(f"--for {text!r}: a whole number with s, m or h, a week at most")
    return seconds


@fleet.command(
    help="An operator's word for a time, over all opinions: "
    "source 10.0.0.7 out | slowed | in, node NAME out | in, store down | slow | working, level 0.25."
)
@kind_argument
@click.argument("words", nargs=-1, required=True)
@click.option("--for", "span", default="10m", show_default=True, help="90s, 10m, 2h")
@click.option("--why", default="", help="60 characters at most")
@at_option
@settings_option
def say(kind: str, words: tuple[str, ...], span: str, why: str, at: str | None, settings: str | None) -> None:
    """Send an operator's override of the consensus."""
    *name, value = words
    if len(name) != (kind in NAMED_SUBJECTS) or len(why) > MAX_REASON_LENGTH:
        raise click.UsageError("source and node take a name and a value, store and level a value")
    _send_override(settings, at, kind, name[0] if name else "", value, _parse_seconds(span), why)


@fleet.command(help="Takes an operator's word back.")
@kind_argument
@click.argument("name", default="")
@at_option
@settings_option
def unsay(kind: str, name: str, at: str | None, settings: str | None) -> None:
    """Revoke an operator's override."""
    _send_override(settings, at, kind, name, "", 0, "")
