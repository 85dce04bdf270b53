"""The commands `finchcart fleet ...`: queries to a running process, and operators' overrides.

This module defines the arguments and the output of the commands. Modules of the fleet are imported within the
commands, so that other commands start without them.
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
NAMED_SUBJECTS = ("source", "node")  # a subject of these kinds is given by kind and name

json_option = click.option("--json", "as_json", is_flag=True)
at_option = click.option("--at", help="HOST:PORT of a node  [default: fleet.listen of the settings file]")
kind_argument = click.argument("kind", type=click.Choice(["source", "store", "node", "level"]))


@click.group()
def fleet() -> None:
    """Query a running process for its view of the fleet, or override the fleet's decisions."""


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
    """Print the names and values of all fields except `without` on one line."""
    shown = (f"{name} {value}" for name, value in fields.items() if name not in without)
    click.echo(indent + ", ".join(shown))


@fleet.command(help="Print the members as the process at HOST:PORT (its `fleet.listen`) sees them.")
@click.argument("where")
@json_option
def members(where: str, as_json: bool) -> None:
    """Print the members of the fleet as one process sees them."""
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


@fleet.command(help="Print the limits as the node (its `fleet.listen`) or planner at HOST:PORT knows them.")
@click.argument("where")
@json_option
def limits(where: str, as_json: bool) -> None:
    """Print the fleet's limits as one process knows them."""
    from finchcart.fleet_queries import query_limits

    view = _query(query_limits, where, as_json)
    _print_fields(view, without=("limits", "counts"))
    for limit in view["limits"]:
        _print_fields(limit, indent="  ")


@fleet.command(
    help="Print the decisions and their age as the node at HOST:PORT (its `fleet.listen`) knows them."
)
@click.argument("where")
@json_option
def verdicts(where: str, as_json: bool) -> None:
    """Print the fleet's decisions as one node knows them."""
    from finchcart.fleet_queries import query_consensus

    view = _query(query_consensus, where, as_json)
    _print_fields(view, without=("verdicts", "counts", "pages"))
    for decision in view["verdicts"]:
        _print_fields(decision, indent="  ")


def _send_override(
    settings: str | None, at: str | None, kind: str, name: str, value: str, seconds: int, why: str
) -> None:
    """Send an operator's override to one node, which gossips it. An empty `value` revokes the override."""
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
                raise click.UsageError("--at, --settings or FINCHCART_SETTINGS has to name a node")
            fleet_settings = load_settings(settings).fleet
            if fleet_settings is msgspec.UNSET:
                raise click.UsageError(f"{settings}: fleet is missing, so --at has to name a node")
            at = fleet_settings.listen
        view = send_override(parse_address(at), subject, number, seconds, why)
    except (SettingsError, TimeoutError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    except (ValueError, DatagramError) as error:
        raise click.UsageError(str(error)) from None
    if not view["taken"]:
        click.echo(f"override rejected: {view['why']}", err=True)
        sys.exit(1)
    click.echo(f"accepted by {at}; all connected nodes apply it within {view['acts_within_ms']} ms")


def _parse_seconds(text: str) -> int:
    """Return the number of seconds in a duration such as "90s", "10m" or "2h"."""
    seconds = int(text[:-1]) * SECONDS_BY_UNIT.get(text[-1], 0) if text[:-1].isdecimal() else 0
    if not 0 < seconds <= MAX_OVERRIDE_SECONDS:
        raise click.UsageError(f"--for {text!r}: expected a whole number with s, m or h, at most one week")
    return seconds


@fleet.command(
    help="Override a decision of the fleet for a limited time: "
    "source 10.0.0.7 out | slowed | in, node NAME out | in, store down | slow | working, level 0.25."
)
@kind_argument
@click.argument("words", nargs=-1, required=True)
@click.option("--for", "span", default="10m", show_default=True, help="duration, such as 90s, 10m or 2h")
@click.option("--why", default="", help="the reason, at most 60 characters")
@at_option
@settings_option
def say(kind: str, words: tuple[str, ...], span: str, why: str, at: str | None, settings: str | None) -> None:
    """Override a decision of the fleet for a limited time."""
    *name, value = words
    if len(name) != (kind in NAMED_SUBJECTS) or len(why) > MAX_REASON_LENGTH:
        raise click.UsageError(
            "source and node take a name and a value, store and level only a value; "
            "--why takes at most 60 characters"
        )
    _send_override(settings, at, kind, name[0] if name else "", value, _parse_seconds(span), why)


@fleet.command(help="Revoke an operator's override.")
@kind_argument
@click.argument("name", default="")
@at_option
@settings_option
def unsay(kind: str, name: str, at: str | None, settings: str | None) -> None:
    """Revoke an operator's override."""
    _send_override(settings, at, kind, name, "", 0, "")
