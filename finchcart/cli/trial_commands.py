"""The commands `finchcart trial ...`: runs of many processes with faults between them.

Owns their arguments; what they start is imported by the commands.
"""

import sys

import click


@click.group()
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
