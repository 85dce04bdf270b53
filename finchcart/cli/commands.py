"""The command line: `finchcart serve | check | plan | fleet | trial`.

Owns arguments and what is printed. It must never be imported by `python -m finchcart` without arguments.
Modules that not every command needs are imported by the commands that do.
"""

import sys
from collections.abc import Callable
from typing import Any

import click
import msgspec

SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600}
MAX_OVERRIDE_SECONDS = 604_800
MAX_REASON_LENGTH = 60
NAMED_SUBJECTS = ("source", "node")  # kinds of which there are many

settings_option = click.option(
    "--settings", envvar="FINCHCART_SETTINGS", type=click.Path(), help="the JSON5 file"
)
log_option = click.option("--log", type=click.Choice(["text", "json"]), default="text", show_default=True)
json_option = click.option("--json", "as_json", is_flag=True)
at_option = click.option("--at", help="HOST:PORT of a node; else fleet.listen of the settings file")
kind_argument = click.argument("kind", type=click.Choice(["source", "store", "node", "level"]))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """One node of a fleet, and tools for the whole of it."""


@commands.command()
@settings_option
@log_option
def serve(settings: str | None, log: str) -> None:
    """Serve as one node; its configuration is named by ROUTER_CONFIG."""
    from finchcart.cli.fleet_node import serve as serve_node
    from finchcart.node_process import exit_process

    exit_process(serve_node(settings, log))


@commands.command()
@settings_option
def check(settings: str | None) -> None:
    """Read a settings file; tell all its mistakes, or the bounds that follow from it."""
    from finchcart.cli.check_report import report
    from finchcart.errors import SettingsError
    from finchcart.fleet_settings.file import load_settings

    if not settings:
        raise click.UsageError("--settings or FINCHCART_SETTINGS has to name a file")
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    for line in report(settings, checked):
        click.echo(line)


@commands.command()
@settings_option
@click.option("--place", required=True, help="its address as quota.planners names it")
@click.option("--listen", help="where it listens, if elsewhere")
@log_option
def plan(settings: str | None, place: str, listen: str | None, log: str) -> None:
    """Be one of the planners that share the fleet's limits out."""
    from finchcart.cli.planner_process import plan as run_planner

    sys.exit(run_planner(settings, place, listen, log))


@commands.group()
def fleet() -> None:
    """Ask a running process what it holds of the fleet."""


def _query(query: Callable[[tuple[str, int]], dict[str, Any]], where: str, as_json: bool) -> dict[str, Any]:
    """Return what the process at HOST:PORT answers; with `as_json` it is printed, and that is all."""
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
    """Tell an operator's override to one node, which tells all; without a value it is taken back."""
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
            at = load_settings(settings).fleet.listen
        view = send_override(parse_address(at), subject, number, seconds, why)
    except (SettingsError, TimeoutError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    except (ValueError, DatagramError, AttributeError) as error:
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


@commands.group()
def trial() -> None:
    """Many processes with faults between them."""


@trial.command("list", help="The scripts that come with the program.")
def list_scripts() -> None:
    """Print the scripts that are part of the program."""
    from finchcart.fault_injection.scripted_runs.script import shipped_scripts

    for name, script in shipped_scripts():
        click.echo(f"{name:20} {script.about}")


@trial.command()
@click.argument("script")
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", type=int, help="instead of the script's")
@click.option("--out", type=click.Path(), help="keeps logs, events, table and chart here")
@click.option("--virtual", is_flag=True, help="on the virtual clock instead of processes")
@click.option("--apart", is_flag=True, help="the nodes don't talk: for comparing their RPCs")
@click.option(
    "--share",
    type=click.Choice(["strict", "loose", "static"]),
    default="strict",
    show_default=True,
    help="how the script's limit is held",
)
@click.option("--times", type=int, help="how often each kind of round is played")
@click.option(
    "--verdicts",
    type=click.Choice(["on", "off", "oracle"]),
    default="on",
    show_default=True,
    help="oracle: every node is told of the store at once",
)
def run(
    script: str,
    seed: int,
    nodes: int | None,
    out: str | None,
    virtual: bool,
    apart: bool,
    share: str,
    times: int | None,
    verdicts: str,
) -> None:
    """Play a script: a table, a chart, and status 1 with the first breach."""
    import signal

    from finchcart.fault_injection.scripted_runs.runner import RunOptions, end_run, play

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_run)
    sys.exit(play(RunOptions(script, seed, nodes, out, virtual, apart, share, verdicts, times)))


@trial.command()
@click.option("--first", default=1, show_default=True)
@click.option("--count", default=50, show_default=True)
@click.option("--jobs", default=5, show_default=True, help="seeds at once")
@click.option("--plant", help="a defect to start the nodes with: the soak is to find it")
@click.option("--out", type=click.Path(), help="keeps logs and records here")
def soak(first: int, count: int, jobs: int, plant: str | None, out: str | None) -> None:
    """Nodes as they ship, under faults of links, clocks, system calls, peers and signals."""
    from finchcart.fault_injection.soak.report import play_and_report

    sys.exit(play_and_report(range(first, first + count), jobs, plant, out, click.echo))


@trial.command()
@click.option("--start", is_flag=True, help="while the node starts, not in service")
@click.option("--most", default=20, show_default=True, help="the highest count at which a call fails")
@click.option("--jobs", default=4, show_default=True, help="nodes at once")
def calls(start: bool, most: int, jobs: int) -> None:
    """Each system call of a node, failed in each documented way, at each count in turn."""
    from finchcart.fault_injection.soak.report import sweep_and_report

    sys.exit(sweep_and_report(start, most, jobs, click.echo))


@trial.command()
@click.option("--first", default=0, show_default=True)
@click.option("--count", default=100, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="processes")
def seeds(first: int, count: int, jobs: int) -> None:
    """Seeded runs of 12 members with all kinds of faults on the virtual clock."""
    from finchcart.fault_injection.membership.seed_sweep import play_seeds

    broken = 0
    for _, _, breach in play_seeds(first, count, jobs):
        if breach:
            broken += 1
            click.echo(breach)
    click.echo(f"{count} seeds from {first}, {broken} with a breach")
    sys.exit(1 if broken else 0)
