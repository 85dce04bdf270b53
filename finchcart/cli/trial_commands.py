"""The commands `finchcart trial ...`: fault-injection runs of many processes.

This module defines the arguments of the commands. The modules that they run are imported within the commands.
"""

import sys

import click


@click.group()
def trial() -> None:
    """Run many nodes or members with injected faults."""


@trial.command("list", help="List the scripts that come with the program.")
def list_scripts() -> None:
    """Print the scripts that are part of the program."""
    from finchcart.fault_injection.scripted_runs.script import shipped_scripts

    for name, script in shipped_scripts():
        click.echo(f"{name:20} {script.about}")


@trial.command()
@click.argument("script")
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", type=int, help="number of nodes, instead of the script's")
@click.option("--out", type=click.Path(), help="directory to keep logs, events, table and chart in")
@click.option("--virtual", is_flag=True, help="run on the virtual clock instead of processes")
@click.option("--apart", is_flag=True, help="let the nodes exchange no messages, for comparison")
@click.option(
    "--share",
    type=click.Choice(["strict", "loose", "static"]),
    default="strict",
    show_default=True,
    help="how the script's limit is enforced",
)
@click.option("--times", type=int, help="number of rounds of each kind")
@click.option(
    "--verdicts",
    type=click.Choice(["on", "off", "oracle"]),
    default="on",
    show_default=True,
    help="oracle: every node learns the state of the store immediately",
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
    """Run a script and report; the exit status is 1 if a rule is breached."""
    import signal

    from finchcart.fault_injection.scripted_runs.runner import RunOptions, end_run, play

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_run)
    sys.exit(play(RunOptions(script, seed, nodes, out, virtual, apart, share, verdicts, times)))


@trial.command()
@click.option("--first", default=1, show_default=True)
@click.option("--count", default=50, show_default=True)
@click.option("--jobs", default=5, show_default=True, help="number of seeds that run in parallel")
@click.option("--plant", help="plant this defect in the nodes, which the soak test should find")
@click.option("--out", type=click.Path(), help="directory to keep logs and records in")
def soak(first: int, count: int, jobs: int, plant: str | None, out: str | None) -> None:
    """Run unmodified nodes with faults of links, clocks, system calls, peers and signals."""
    from finchcart.fault_injection.soak.report import play_and_report

    sys.exit(play_and_report(range(first, first + count), jobs, plant, out, click.echo))


@trial.command()
@click.option("--start", is_flag=True, help="fail calls while the node starts, not while it serves")
@click.option("--most", default=20, show_default=True, help="the last occurrence of a call that is failed")
@click.option("--jobs", default=4, show_default=True, help="number of nodes that run in parallel")
def calls(start: bool, most: int, jobs: int) -> None:
    """Fail each system call of a node, with each documented error, at each occurrence in turn."""
    from finchcart.fault_injection.soak.report import sweep_and_report

    sys.exit(sweep_and_report(start, most, jobs, click.echo))


@trial.command()
@click.option("--first", default=0, show_default=True)
@click.option("--count", default=100, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="number of processes that run in parallel")
def seeds(first: int, count: int, jobs: int) -> None:
    """Run seeded simulations of 12 members with all kinds of faults on the virtual clock."""
    from finchcart.fault_injection.membership.seed_sweep import play_seeds

    broken = 0
    for _, _, breach in play_seeds(first, count, jobs):
        if breach:
            broken += 1
            click.echo(breach)
    click.echo(f"{count} seeds from {first}, {broken} with a breach")
    sys.exit(1 if broken else 0)
