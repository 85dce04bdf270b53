"""The command line: `finchcart serve | check | plan | fleet | trial`.

Owns the commands that start or check one process; fleet_commands.py and trial_commands.py own the others. It
must never be imported by `python -m finchcart` without arguments. What not every command needs is imported by
the commands that do.
"""

import sys

import click

from finchcart.cli.fleet_commands import fleet
from finchcart.cli.options import log_option, settings_option
from finchcart.cli.trial_commands import trial

MISSING_SETTINGS = "--settings or FINCHCART_SETTINGS has to name a file"


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
@click.option("--place", required=True, help="its address as quota.planners names it")
@click.option("--listen", help="where it listens, if elsewhere")
@log_option
def plan(settings: str | None, place: str, listen: str | None, log: str) -> None:
    """Be one of the planners that share the fleet's limits out."""
    from finchcart.cli.planner_process import plan as run_planner

    if not settings:
        raise click.ClickException(MISSING_SETTINGS)
    sys.exit(run_planner(settings, place, listen, log))


commands.add_command(fleet)
commands.add_command(trial)
