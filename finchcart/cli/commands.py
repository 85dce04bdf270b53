"""The command line: `finchcart serve | check | fleet | trial`.

Owns arguments and what is printed. It must never be imported by `python -m finchcart` without arguments.
"""

import sys

import click
import msgspec

SETTINGS = click.option("--settings", envvar="FINCHCART_SETTINGS", type=click.Path(), help="the JSON5 file")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands():
    """One node of a fleet, and tools for the whole of it."""


@commands.command()
@SETTINGS
@click.option("--log", type=click.Choice(["text", "json"]), default="text", show_default=True)
def serve(settings, log):
    """Serve as one node; its configuration is named by ROUTER_CONFIG."""
    import os

    from finchcart.cli.serve import serve as run

    status = run(settings, log)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # threads that still wait on a socket are not waited for


@commands.command()
@SETTINGS
def check(settings):
    """Read a settings file; tell all its mistakes, or the bounds that follow from it."""
    from finchcart.cli.file import Wrong, claims, figures, quota, read, verdicts

    if not settings:
        raise click.UsageError("--settings or FINCHCART_SETTINGS has to name a file")
    try:
        whole = read(settings)
    except Wrong as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(2)
    fleet = whole.fleet
    if fleet is msgspec.UNSET:
        click.echo(f"{settings}: good; no fleet is asked for")
        return
    told, shared = figures(fleet), quota(whole)
    click.echo(f"{settings}: good; fleet {fleet.name}")
    for count in (3, 24, 200):
        calm, lossy = (told.staleness_bound(count, loss) / 1e6 for loss in (0.0, 0.3))
        click.echo(f"  {count} members: a view is at most {calm:.1f} s old, {lossy:.1f} s at 30 % loss")
    for limit in shared.loose if shared else ():
        unit = "in hand" if limit.per == "in_hand" else f"a second, {limit.burst} at once"
        over, more = (shared.loose_overshoot_bound(limit, 24, joined) for joined in (0, 4))
        click.echo(f"  limit {limit.name}, loose: {limit.amount} {unit}; however the fleet is cut, over by")
        click.echo(f"    at most {over} at 24 members, {more} with 4 that join meanwhile")
    for limit in shared.strict if shared else ():
        if limit.per == "rate":
            click.echo(
                f"  limit {limit.name}: at most {shared.window_bound(limit, 1_000_000)} in any second, "
                f"{shared.window_bound(limit, 10_000_000)} in ten"
            )
            continue
        click.echo(
            f"  limit {limit.name}: {limit.amount} in hand, {limit.floor} each node's own, "
            f"{limit.shareable(shared.most)} shared among at most {shared.most};"
        )
        click.echo(
            f"    over by one call for each process stopped at the write, for "
            f"{shared.overshoot_duration_bound() / 1e6:.1f} s at most; without planners at the floor"
        )
        click.echo(
            f"    within {shared.fallback_bound() / 1e6:.1f} s, shared again within "
            f"{shared.recovery_bound() / 1e6:.1f} s of their return"
        )

    claimed = claims(whole)
    if claimed:
        click.echo(
            f"  claims: two runs of one key are commanded at least {claimed.run_spacing_bound() / 1e6:.1f} s "
            "apart, whoever fails;"
        )
        click.echo(
            f"    a keeper that starts is silent for {claimed.startup_quiet_period / 1e6:.1f} s; it holds "
            f"{claimed.state_bytes_bound() / 2**20:.0f} MB at most"
        )
    held = verdicts(whole)
    if held:
        from finchcart.consensus.config import config_warnings
        from finchcart.consensus.decision import fault_thresholds

        for count in (3, 24, 200):
            calm, lossy = (held.acts_within(told, count, loss) / 1e6 for loss in (0.0, 0.3))
            liars = fault_thresholds(held, count)
            click.echo(
                f"  verdicts at {count} members: all act {calm:.1f} s after enough have the evidence, "
                f"{lossy:.1f} s at 30 % loss;"
            )
            click.echo(
                f"    {liars.store} that are wrong or lie move store, {liars.source} a source, "
                f"{liars.level} level"
            )
        click.echo(
            f"  verdicts: an opinion is at most {held.staleness_bound() / 1e6:.1f} s old, then it is void"
        )
        for name, reason in config_warnings(held):
            click.echo(f"  warning: verdicts.{name}: {reason}")


@commands.command()
@SETTINGS
@click.option("--place", required=True, help="its address as quota.planners names it")
@click.option("--listen", help="where it listens, if elsewhere")
@click.option("--log", type=click.Choice(["text", "json"]), default="text", show_default=True)
def plan(settings, place, listen, log):
    """Be one of the planners that share the fleet's limits out."""
    from finchcart.cli.serve import plan as run

    sys.exit(run(settings, place, listen, log))


@commands.group()
def fleet():
    """Ask a running process what it holds of the fleet."""


def answer(ask, where, as_json):
    """What the process at HOST:PORT answers to `ask`; with `as_json` it is printed, and that is all."""
    from finchcart.membership.codec import DatagramError, parse_address

    try:
        view = ask(parse_address(where))
    except DatagramError as error:
        raise click.UsageError(f"{where}: {error}") from None
    except TimeoutError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.encode(view))
        sys.exit(0)
    return view


@fleet.command()
@click.argument("where")
@click.option("--json", "as_json", is_flag=True)
def members(where, as_json):
    """The members as the process at HOST:PORT (its `fleet.listen`) sees them."""
    from finchcart.cli.serve import ask

    view = answer(ask, where, as_json)
    alone = ", isolated" if view["isolated"] else ""
    click.echo(f"{view['name']}, incarnation {view['incarnation']}{alone}; at most {view['age_ms']} ms old")
    wide = max(len(member["name"]) for member in view["members"])
    for member in view["members"]:
        click.echo(
            f"  {member['name']:{wide}}  {member['state']:8} {member['age_ms']:>7} ms  "
            f"{member['address']:21} {member['incarnation']}"
        )


@fleet.command()
@click.argument("where")
@click.option("--json", "as_json", is_flag=True)
def limits(where, as_json):
    """The limits as the node (its `fleet.listen`) or planner at HOST:PORT holds them."""
    from finchcart.cli.serve import ask_limits

    view = answer(ask_limits, where, as_json)
    told = {name: value for name, value in view.items() if name not in ("limits", "counts")}
    click.echo(", ".join(f"{name} {value}" for name, value in told.items()))
    for limit in view["limits"]:
        click.echo("  " + ", ".join(f"{name} {value}" for name, value in limit.items()))


@fleet.command()
@click.argument("where")
@click.option("--json", "as_json", is_flag=True)
def verdicts(where, as_json):
    """What the node at HOST:PORT (its `fleet.listen`) takes the fleet to hold, and how old that can be."""
    from finchcart.cli.serve import ask_verdicts

    view = answer(ask_verdicts, where, as_json)
    click.echo(
        ", ".join(
            f"{name} {value}" for name, value in view.items() if name not in ("verdicts", "counts", "pages")
        )
    )
    for row in view["verdicts"]:
        click.echo("  " + ", ".join(f"{name} {value}" for name, value in row.items()))


AT = click.option("--at", help="HOST:PORT of a node; else fleet.listen of the settings file")


def word(settings, at, kind, name, value, seconds, why):
    """Tells an operator's word to one node, which tells all."""
    from finchcart.cli.file import Wrong, read
    from finchcart.cli.serve import say as tell
    from finchcart.consensus import subjects
    from finchcart.membership.codec import DatagramError, parse_address

    try:
        subject = subjects.parse_subject(kind, name)
        told = subjects.parse_value(kind, value) if value else 0
        if not at:
            if not settings:
                raise click.UsageError("--at, or --settings or FINCHCART_SETTINGS, has to tell which node")
            at = read(settings).fleet.listen
        view = tell(parse_address(at), subject, told, seconds, why)
    except (ValueError, DatagramError, AttributeError) as error:
        raise click.UsageError(str(error)) from None
    except (Wrong, TimeoutError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if not view["taken"]:
        click.echo(f"not taken: {view['why']}", err=True)
        sys.exit(1)
    click.echo(f"taken by {at}; all connected nodes act within {view['acts_within_ms']} ms")


def seconds_of(text):
    """Of "90s", "10m", "2h"."""
    units = {"s": 1, "m": 60, "h": 3600}
    seconds = int(text[:-1]) * units.get(text[-1], 0) if text[:-1].isdecimal() else 0
    if not 0 < seconds <= 604_800:
        raise click.UsageError(f"--for {text!r}: a whole number with s, m or h, a week at most")
    return seconds


KINDS = click.Choice(["source", "store", "node", "level"])


@fleet.command()
@click.argument("kind", type=KINDS)
@click.argument("words", nargs=-1, required=True)
@click.option("--for", "span", default="10m", show_default=True, help="90s, 10m, 2h")
@click.option("--why", default="", help="60 characters at most")
@AT
@SETTINGS
def say(kind, words, span, why, at, settings):
    """An operator's word for a time, over all opinions: source 10.0.0.7 out | slowed | in, node NAME out |
    in, store down | slow | working, level 0.25."""
    *name, value = words
    if len(name) != (kind in ("source", "node")) or len(why) > 60:
        raise click.UsageError("source and node take a name and a value, store and level a value")
    word(settings, at, kind, name[0] if name else "", value, seconds_of(span), why)


@fleet.command()
@click.argument("kind", type=KINDS)
@click.argument("name", default="")
@AT
@SETTINGS
def unsay(kind, name, at, settings):
    """Takes an operator's word back."""
    word(settings, at, kind, name, "", 0, "")


@commands.group()
def trial():
    """Many processes with faults between them."""


@trial.command("list")
def list_scripts():
    """The scripts that come with the program."""
    from finchcart.fault_injection.script import shipped_scripts

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
def run(script, seed, nodes, out, virtual, apart, share, times, verdicts):
    """Play a script: a table, a chart, and status 1 with the first breach."""
    import signal

    from finchcart.fault_injection.runner import RunOptions, end_run, play

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_run)
    sys.exit(play(RunOptions(script, seed, nodes, out, virtual, apart, share, verdicts, times)))


@trial.command()
@click.option("--first", default=0, show_default=True)
@click.option("--count", default=100, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="processes")
def seeds(first, count, jobs):
    """Seeded runs of 12 members with all kinds of faults on the virtual clock."""
    from finchcart.fault_injection.seed_sweep import play_seeds

    broken = 0
    for seed, _, breach in play_seeds(first, count, jobs):
        if breach:
            broken += 1
            click.echo(breach)
    click.echo(f"{count} seeds from {first}, {broken} with a breach")
    sys.exit(1 if broken else 0)
