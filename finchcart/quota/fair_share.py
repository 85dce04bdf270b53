"""How a limit is divided: max-min by demand, what matters more first.

Pure. It must never know leases or time: planner.py says who asks and what may be moved.
"""


def max_min_shares(amount, demands, weights=None):
    """name -> whole part of `amount`: nobody more than its demand, and nobody less than another with more,
    for its weight. What can't be split is given in the order of names."""
    parts = dict.fromkeys(demands, 0)
    open_, left = {name: want for name, want in demands.items() if want > 0}, max(0, amount)
    weight = (lambda name: weights.get(name, 1.0)) if weights else (lambda name: 1.0)
    while open_ and left > 0:
        whole = sum(weight(name) for name in open_)
        met = [name for name, want in open_.items() if want <= left * weight(name) / whole]
        if met:
            # Those whose demand is met in full leave their rest to the others.
            for name in met:
                parts[name] = open_.pop(name)
                left -= parts[name]
            continue
        shares = {name: left * weight(name) / whole for name in open_}
        for name, share in shares.items():
            parts[name] = int(share)
        rest = left - sum(int(share) for share in shares.values())
        for name in sorted(open_, key=lambda name: (int(shares[name]) - shares[name], name))[:rest]:
            parts[name] += 1
        break
    return parts


def prioritized_shares(amount, demands, first, weights=None):
    """As `divide`; what of the demands comes `first` is met before any of the rest."""
    parts = max_min_shares(
        amount, {name: min(first.get(name, 0), want) for name, want in demands.items()}, weights
    )
    rest = max_min_shares(
        amount - sum(parts.values()), {name: want - parts[name] for name, want in demands.items()}, weights
    )
    return {name: parts[name] + rest[name] for name in demands}
