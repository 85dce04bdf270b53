"""The command line: `finchcart serve | check | plan | fleet | trial`.

This module defines the commands `serve`, `check` and `plan`; the groups `fleet` and `trial` are in
fleet_commands.py and trial_commands.py. `python -m finchcart` without arguments must never import this
module. Modules that only some commands need are imported within those commands.
"""

import sys

import click

from finchcart.cli.fleet_commands import fleet
from finchcart.cli.options import log_option, settings_option
from finchcart.cli.trial_commands import trial

MISSING_SETTINGS = "--settings or FINCHCART_SETTINGS has to name a file"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """Run a node or a planner, check settings, query a fleet, or run fault-injection trials."""


@commands.command()
@settings_option
@log_option
def serve(settings: str | None, log: str) -> None:
    """Run one node; ROUTER_CONFIG names its configuration file."""
    from finchcart.cli.fleet_node import serve as serve_node
    from finchcart.node_process import exit_process

    exit_process(serve_node(settings, log))


@commands.command()
@settings_option
def check(settings: str | None) -> None:
    """Check a settings file; print all mistakes or the resulting bounds."""
    from finchcart.cli.check_report import report
    from finchcart.errors import SettingsError
    from finchcart.fleet_settings.file import load_settings

    if not settings:
        raise click.UsageError(MISSING_SETTINGS)
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    for line in report(settings, checked):
        click.echo(line)


@commands.command()
@settings_option
@click.option("--place", required=True, help="the planner's address, as listed in the settings file")
@click.option("--listen", help="the address to listen on, if different from --place")
@log_option
def plan(settings: str | None, place: str, listen: str | None, log: str) -> None:
    """Run one of the planners that allocate the fleet's limits to nodes."""
    from finchcart.cli.planner_process import plan as run_planner

    if not settings:
        raise click.ClickException(MISSING_SETTINGS)
    sys.exit(run_planner(settings, place, listen, log))


commands.add_command(fleet)
commands.add_command(trial)
