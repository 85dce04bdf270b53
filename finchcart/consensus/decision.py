"""The rule that makes verdicts of opinions.

Pure, without memory: the same opinions give the same verdicts at everybody, whatever was held before. So
after a cut heals there is nothing to settle but which opinions are there. What must stand for a while is kept
by store.py.

`voices`: id of a member -> its opinions, (subject, value, weight), see `State.opinions`.
"""

from bisect import bisect_left
from statistics import median, median_low

from finchcart.consensus.observations import MILLION
from finchcart.consensus.subjects import (
    ADDRESS,
    DOWN,
    LEVEL_ITSELF,
    NODE,
    NUMBER,
    OUT,
    SLOW,
    SLOWED,
    STORE_ITSELF,
    WORKING,
    ZONE_ITSELF,
    kind_of,
)


def decide(voices, figures, members):
    """subject -> (value, opinions for it, of how many that could know). `members`: how many are in."""
    out = {}
    zones = {who: value for who, said in voices.items() for one, value, _ in said if one == ZONE_ITSELF}
    store = {
        who: (value, fresh)
        for who, said in voices.items()
        for one, value, fresh in said
        if one == STORE_ITSELF
    }
    of_store(out, store, zones, figures)
    of_sources(out, voices, zones, figures, members)
    of_nodes(out, voices, figures, members)
    levels = [value for said in voices.values() for one, value, _ in said if one == LEVEL_ITSELF]
    if len(levels) >= figures.count:
        # The lower median: so many are as strict or stricter, and fewer than half can't move it.
        level = median_low(levels)
        if level:
            out[LEVEL_ITSELF] = level, sum(each >= level for each in levels), len(levels)
    return out


def enough(who, zones, figures):
    return len(who) >= figures.count and len({zones.get(one) for one in who}) >= figures.zones


def of_store(out, store, zones, figures):
    """Those who called it lately know; where too few did, all who ever said something speak."""
    fresh = {who: value for who, (value, fresh) in store.items() if fresh}
    if len(fresh) < figures.count:
        fresh = {who: value for who, (value, _) in store.items()}
    for least in (DOWN, SLOW):
        who = [one for one, value in fresh.items() if value >= least]
        # More than that part: where two halves differ, neither speaks for all.
        if enough(who, zones, figures) and len(who) > figures.part * len(fresh):
            out[STORE_ITSELF] = least, len(who), len(fresh)
            return
    good = sum(value == WORKING for value in fresh.values())
    if good >= figures.count:
        out[STORE_ITSELF] = WORKING, good, len(fresh)


def of_sources(out, voices, zones, figures, members):
    said = {}
    for who, opinions in voices.items():
        for one, value, weight in opinions:
            if kind_of(one) in (NUMBER, ADDRESS):
                said.setdefault(one, {})[who] = value, weight
    need, left = figures.needed(members), 100 * figures.most_out
    ranked = sorted(said.items(), key=lambda item: (-len(item[1]), item[0]))
    for one, by in ranked:
        if len(by) < need or not enough(by, zones, figures):
            continue
        # Guards against turning away much of all RPCs: what this source carries counts as the median of
        # those who say so have it.
        percent = median(weight // MILLION for _, weight in by.values())
        out_too = [who for who, (value, _) in by.items() if value == OUT]
        if len(out_too) >= need and percent <= left:
            left -= percent
            out[one] = OUT, len(out_too), members
        elif percent <= 100 * figures.most_out:
            out[one] = SLOWED, len(by), members


def median_without(values, value):
    """The median of the sorted `values` but for one that is `value`. Guards against a sort for each node."""
    at, left = bisect_left(values, value), len(values) - 1
    pick = lambda n: values[n + (n >= at)]
    return pick(left // 2) if left % 2 else (pick(left // 2 - 1) + pick(left // 2)) / 2


def of_nodes(out, voices, figures, members):
    """Each node tells its own figures; out is who stands apart from the median of the others."""
    said = {
        who: (one, value, weight)
        for who, opinions in voices.items()
        for one, value, weight in opinions
        if kind_of(one) == NODE
    }
    if len(said) <= figures.count:
        return
    all_failed, all_times = (sorted(each[n] for each in said.values()) for n in (1, 2))
    apart, others = [], len(said) - 1
    for one, failed, time in said.values():
        usual_failed, usual = median_without(all_failed, failed), median_without(all_times, time)
        if failed >= 100 * figures.failed and usual_failed < 50 * figures.failed:
            apart.append((-failed, one))
        elif usual and time >= figures.slower * usual:
            apart.append((-time / usual, one))
    for _, one in sorted(apart)[: int(figures.out_part * members)]:
        out[one] = OUT, others, others


def least_liars(figures, members):
    """How many wrong or lying nodes it takes to move each kind, by the rule alone."""
    return {
        "store": max(figures.count, int(figures.part * members) + 1),
        "source": figures.needed(members),
        "level": members // 2,
        "node": members // 2,
    }
